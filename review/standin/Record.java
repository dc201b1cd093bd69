import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file that says what was sent, answered and run, with seconds since the start of the script. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8.3f  %s%n", seconds(), String.format(format, values));
    }

    /** Writes a line that is also shown on standard output. */
    synchronized void say(String format, Object... values) {
        line(format, values);
        out.flush();
        System.out.printf("%8.3f  %s%n", seconds(), String.format(format, values));
    }

    synchronized void close() {
        out.close();
    }
}
