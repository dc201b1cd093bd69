import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client's channel to one machine, for one request after the other. */
final class Client implements AutoCloseable {
    /** How an answer ended, as a client of HTTP/1.1 reads it. */
    enum End { COMPLETE, CUT, NO_ANSWER, NO_CONNECTION, TIMEOUT }

    /** How the end of an answer is marked. */
    enum Framing { LENGTH, CHUNKED, CLOSE, NONE }

    static final class Result {
        int status;
        Framing framing = Framing.NONE;
        End end = End.NO_ANSWER;
        String body = "";
        Http.Head head;
        long millis;
        boolean isReset;

        /** Number of the last event of a stream; 0 without one. */
        int events() {
            int n = 0;
            for (String line : body.split("\n")) if (line.startsWith("id: ")) n++;
            return n;
        }

        @Override
        public String toString() {
            return end + " status " + status + " framing " + framing + (isReset ? " (reset)" : "") + " after " + millis + " ms, "
                + body.length() + " bytes";
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends one request on a new channel. */
    static Result once(String address, String request, byte[] body, int timeoutMillis) {
        long start = System.nanoTime();
        try (Client client = new Client(address)) {
            return client.send(request, body, timeoutMillis);
        } catch (IOException e) {
            Result result = new Result();
            result.end = End.NO_CONNECTION;
            result.millis = (System.nanoTime() - start) / 1_000_000;
            return result;
        }
    }

    /** Sends one request and reads its answer; {@code head} ends without the empty line. */
    Result send(String head, byte[] body, int timeoutMillis) throws IOException {
        long start = System.nanoTime();
        Result result = new Result();
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try {
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (body.length > 0) message.write(("Content-Length: " + body.length + "\r\n").getBytes());
            message.write("\r\n".getBytes());
            message.write(body);
            socket.getOutputStream().write(message.toByteArray());
            socket.setSoTimeout(timeoutMillis);
            result.head = Http.readHead(in);
            if (result.head != null) {
                result.status = Integer.parseInt(result.head.line.split(" ")[1]);
                result.end = End.CUT;
                if (result.head.isChunked()) {
                    result.framing = Framing.CHUNKED;
                    Http.readChunked(in, content);
                } else if (result.head.length() >= 0) {
                    result.framing = Framing.LENGTH;
                    byte[] bytes = in.readNBytes(result.head.length());
                    content.write(bytes);
                    if (bytes.length < result.head.length()) throw new EOFException("the body is short");
                } else {
                    result.framing = Framing.CLOSE;
                    int b;
                    while ((b = in.read()) >= 0) content.write(b);
                }
                result.end = End.COMPLETE;
            }
        } catch (SocketTimeoutException e) {
            result.end = End.TIMEOUT;
        } catch (EOFException e) {
            // The answer was cut, as the end says already.
        } catch (IOException e) {
            result.isReset = true;
        }
        result.body = content.toString(StandardCharsets.UTF_8);
        result.millis = (System.nanoTime() - start) / 1_000_000;
        return result;
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
