import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reading of HTTP/1.1 messages from a socket. */
final class Http {
    /** The first line and the headers of a message. */
    static final class Head {
        final String line;
        final List<String[]> headers = new ArrayList<>();

        Head(String line) {
            this.line = line;
        }

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        boolean isChunked() {
            String coding = header("Transfer-Encoding");
            return coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked");
        }

        int length() {
            String length = header("Content-Length");
            return length == null ? -1 : Integer.parseInt(length.trim());
        }
    }

    /** The next head; null if the channel ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Head head = new Head(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the channel ended within a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the channel ended within a line");
            }
            if (b == '\n') break;
            line.write(b);
        }
        String text = line.toString("ISO-8859-1");
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads a chunked body to its end; adds each chunk to {@code out} as it arrives. */
    static void readChunked(InputStream in, ByteArrayOutputStream out) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("the channel ended before the last chunk");
            int n = Integer.parseInt(size.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(n);
            out.write(chunk);
            if (chunk.length < n) throw new EOFException("the channel ended within a chunk");
            if (readLine(in) == null) throw new EOFException("the channel ended after a chunk");
            if (n == 0) return;
        }
    }
}
