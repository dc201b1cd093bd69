import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker of one service, which answers as PROTOCOL.md says; what it does with a request is up to its {@link Job}. */
final class Worker implements AutoCloseable {
    /** A request as the worker received it. */
    static final class Request {
        final Http.Head head;
        final String method, target, id;
        final byte[] body;

        Request(Http.Head head, byte[] body) {
            this.head = head;
            this.body = body;
            String[] words = head.line.split(" ");
            method = words[0];
            target = words[1];
            id = head.header("X-Berylpoint-Request-Id");
        }
    }

    /** Runs one request and writes its answer. */
    interface Job {
        void run(Worker worker, Request request, Answer answer) throws Exception;
    }

    /** The answer to one request. */
    static final class Answer {
        private final OutputStream out;
        private final Socket socket;
        private final Request request;
        private boolean isChunked;

        Answer(Socket socket, Request request) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
            this.request = request;
        }

        private String head(int status, String type) {
            return "HTTP/1.1 " + status + " Status\r\nContent-Type: " + type + "\r\nX-Berylpoint-Request-Id: "
                + request.id + "\r\nX-Berylpoint-Response-Seal: seal-" + request.id + "\r\n";
        }

        void whole(int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            out.write((head(status, "text/plain") + "Content-Length: " + bytes.length + "\r\n\r\n").getBytes());
            out.write(bytes);
            out.flush();
        }

        void startStream() throws IOException {
            isChunked = true;
            out.write((head(200, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
            out.flush();
        }

        void event(int id, String data) throws IOException {
            byte[] bytes = ("id: " + id + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
            chunk.write(bytes);
            chunk.write("\r\n".getBytes());
            out.write(chunk.toByteArray());
            out.flush();
        }

        void endStream() throws IOException {
            out.write("0\r\n\r\n".getBytes());
            out.flush();
        }

        void plain(int status, String headers) throws IOException {
            out.write(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: 0\r\n\r\n").getBytes());
            out.flush();
        }
    }

    final String id, service, version, zone;
    final int slots;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Job job;
    private final long born = System.currentTimeMillis();
    private volatile boolean isClosed;

    Worker(String id, String service, String version, String zone, int slots, Job job) throws IOException {
        this(id, service, version, zone, slots, 0, job);
    }

    Worker(String id, String service, String version, String zone, int slots, int port, Job job) throws IOException {
        this.id = id;
        this.service = service;
        this.version = version;
        this.zone = zone;
        this.slots = slots;
        this.job = job;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        daemon(this::accept);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The worker's entry in the store. */
    String entry(String state, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    /** Ends the worker as a crash does: its channels are reset and its port is closed. */
    @Override
    public void close() {
        isClosed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed already.
        }
        for (Socket socket : sockets) reset(socket);
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                if (isClosed) return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                if (head.isChunked()) Http.readChunked(in, body);
                else if (head.length() > 0) body.write(in.readNBytes(head.length()));
                Request request = new Request(head, body.toByteArray());
                Answer answer = new Answer(socket, request);
                String expected = head.header("X-Berylpoint-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    answer.plain(421, "X-Berylpoint-Instance-Id: " + id + "\r\n");
                    continue;
                }
                job.run(this, request, answer);
            }
        } catch (Exception e) {
            // The caller closed the channel, or the job ended it.
        } finally {
            sockets.remove(socket);
        }
    }
}
