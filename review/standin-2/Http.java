package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 over plain sockets, as much as the stand-ins need. */
final class Http {
    private Http() {
    }

    /** A request or a response: its first line, its headers and its body. */
    static final class Message {
        final String first;
        final List<String[]> headers;
        byte[] body = new byte[0];

        Message(String first, List<String[]> headers) {
            this.first = first;
            this.headers = headers;
        }

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    interface Handler {
        /** Handles one request; false to close the channel. */
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** A server with a thread a channel. */
    static final class Server implements AutoCloseable {
        final ServerSocket socket;
        final String address;
        private final Handler handler;
        private final List<Socket> open = java.util.Collections.synchronizedList(new ArrayList<>());

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127.0.0.1", 0), 512);
            address = "127.0.0.1:" + socket.getLocalPort();
            daemon(this::accept);
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket client = socket.accept();
                    client.setTcpNoDelay(true);
                    open.add(client);
                    daemon(() -> serve(client));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket client) {
            try (client) {
                InputStream in = new BufferedInputStream(client.getInputStream(), 65_536);
                OutputStream out = client.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, client, out)) return;
                }
            } catch (Exception e) {
                // The channel broke; its peer sees that too.
            } finally {
                open.remove(client);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket s : new ArrayList<>(open)) s.close();
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 262_144);
        thread.setDaemon(true);
        thread.start();
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) return out.size() == 0 ? null : out.toString(StandardCharsets.ISO_8859_1);
            if (b == '\n') break;
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        List<String[]> headers = new ArrayList<>();
        while (true) {
            String text = line(in);
            if (text == null) return null;
            if (text.isEmpty()) break;
            int colon = text.indexOf(':');
            headers.add(new String[] {text.substring(0, colon).trim(), text.substring(colon + 1).trim()});
        }
        return new Message(first, headers);
    }

    /** Reads a whole message; null at the end of the input. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message message = head(in);
        if (message == null) return null;
        String coding = message.header("Transfer-Encoding");
        String length = message.header("Content-Length");
        if (coding != null && coding.toLowerCase().contains("chunked")) {
            message.body = chunks(in);
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length.trim()));
        } else if (isAnswer && message.status() != 204 && message.status() != 304) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new IOException("the body ends early");
        return body;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) throw new IOException("the body ends early");
            int n = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (n == 0) {
                while (true) {
                    String trailer = line(in);
                    if (trailer == null) throw new IOException("the body ends early");
                    if (trailer.isEmpty()) return out.toByteArray();
                }
            }
            out.write(exactly(in, n));
            line(in);
        }
    }

    static void send(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
            new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
                Integer.parseInt(address.substring(colon + 1))), timeoutMillis);
        return socket;
    }
}
