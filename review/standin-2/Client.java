package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** A client's channel to an entry instance, on which it sends one request after another. */
final class Client implements AutoCloseable {
    /** A client's link: 1 Mbit/s, with a small window. */
    private static final int BYTES_PER_SECOND = 125_000;
    private static final int WINDOW_BYTES = 32_768;
    private static final int READ_MILLIS = 1_000;
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(String front) throws IOException {
        socket.setReceiveBufferSize(WINDOW_BYTES);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", Integer.parseInt(front.split(":")[1])), 1_000);
        in = new BufferedInputStream(socket.getInputStream(), 4_096);
        out = socket.getOutputStream();
    }

    private void send(String method, String path, String id, int budgetMillis, String more, byte[] body)
        throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Berylpoint-Request-Id: " + id
            + "\r\nX-Berylpoint-Request-Deadline: " + budgetMillis + "\r\nAuthorization: Bearer " + Site.KEY + "\r\n"
            + more + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        out.write(head.getBytes());
        out.write(body);
        out.flush();
    }

    /** A body that no other request has. */
    static byte[] body(String id, int bytes) {
        byte[] body = Arrays.copyOf(id.getBytes(StandardCharsets.UTF_8), bytes);
        Arrays.fill(body, Math.min(id.length(), bytes), bytes, (byte) '.');
        return body;
    }

    /** The status of a plain request's answer, or what became of its channel. */
    String plain(String method, String path, String id, int budgetMillis, byte[] body) {
        try {
            socket.setSoTimeout(budgetMillis);
            send(method, path, id, budgetMillis, "", body);
            Http.Message answer = Http.read(in, true);
            return answer == null ? "closed" : "" + answer.status();
        } catch (SocketTimeoutException e) {
            return "gave up";
        } catch (IOException e) {
            return "cut";
        }
    }

    /**
     * What became of a stream: "complete", a status, "cut" if the instance closed the channel, "gave up" if the client
     * left after a gap of {@code gapMillis} or at its time budget, "not read" if it left since its request was not taken within a second.
     */
    String stream(String path, String id, int budgetMillis, int gapMillis) {
        return stream(path, id, budgetMillis, gapMillis, 12_000);
    }

    String stream(String path, String id, int budgetMillis, int gapMillis, int bodyBytes) {
        long start = Clock.millis();
        long bytes = 0;
        // A client abandons an attempt whose request is not read after a second.
        AtomicBoolean isSent = new AtomicBoolean();
        TIMER.schedule(() -> {
            if (isSent.compareAndSet(false, true)) close();
        }, READ_MILLIS, TimeUnit.MILLISECONDS);
        try {
            send("POST", path, id, budgetMillis, "X-Berylpoint-Model: m\r\nX-Berylpoint-Token-Usage: 6610,384\r\n"
                + "X-Berylpoint-Prompt-Prefix: 5c1e07a2:512," + Integer.toHexString(id.hashCode()) + ":6098\r\n",
                body(id, bodyBytes));
            if (!isSent.compareAndSet(false, true)) return "not read";
            socket.setSoTimeout(gapMillis);
            Http.Message head = Http.head(in);
            if (head == null) return "cut";
            if (head.status() != 200) return "" + head.status();
            while (true) {
                long left = budgetMillis - (Clock.millis() - start);
                if (left <= 0) return "gave up";
                socket.setSoTimeout((int) Math.min(gapMillis, left));
                String size = Http.line(in);
                if (size == null) return "cut";
                int n = Integer.parseInt(size.trim(), 16);
                if (n == 0) return "complete";
                for (int got = 0; got < n;) {
                    int part = Math.min(4_096, n - got);
                    Http.exactly(in, part);
                    got += part;
                    bytes += part;
                    long pause = bytes * 1_000 / BYTES_PER_SECOND - (Clock.millis() - start);
                    if (pause > 0) Thread.sleep(pause);
                    if (Clock.millis() - start > budgetMillis) return "gave up";
                }
                Http.line(in);
            }
        } catch (SocketTimeoutException e) {
            return "gave up";
        } catch (IOException e) {
            return isSent.compareAndSet(false, true) || !socket.isClosed() ? "cut" : "not read";
        } catch (InterruptedException e) {
            return "gave up";
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
