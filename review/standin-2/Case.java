package review;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What the cases share: a store, a cloud and entry instances that end with the case, and the record. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Path folder = Files.createTempDirectory("review");
    final Store store = new Store();
    final Cloud cloud = new Cloud();
    final List<Entry> entries = new ArrayList<>();
    private final PrintWriter record;

    Case(String record) throws Exception {
        this.record = new PrintWriter(Files.newBufferedWriter(Path.of(record)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Plays the case; whether the rule held. */
    abstract boolean play() throws Exception;

    final void run() {
        try {
            boolean held = play();
            note(held ? "the rule held" : "the rule was broken");
            finish(held ? 0 : 1);
        } catch (Throwable e) {
            note("the case could not run: " + e);
            e.printStackTrace();
            finish(2);
        }
    }

    private void finish(int status) {
        end();
        record.close();
        Runtime.getRuntime().halt(status);
    }

    private synchronized void end() {
        for (Entry entry : entries) {
            try {
                entry.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
            Files.delete(folder);
        } catch (Exception e) {
            // The folder is gone already.
        }
    }

    synchronized void note(String line) {
        String text = Clock.now() + " " + line;
        System.out.println(text);
        record.println(text);
    }

    /** Writes a line to the record only. */
    synchronized void detail(String line) {
        record.println(line);
    }

    void startEntries(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            String zone = "ne-" + "abcd".charAt(i % 4);
            Entry entry = new Entry(root, folder, "frontend-" + zone + "-" + (i / 4 + 1), zone, store.server.address,
                cloud.server.address);
            entries.add(entry);
            entry.start();
        }
        for (Entry entry : entries) {
            if (!entry.awaitReady(20_000)) throw new IllegalStateException(entry.name + " doesn't get ready");
        }
        Thread.sleep(3_000);
        Clock.begin();
    }

    /** Number of lines with {@code word} in the logs of the instances; for the record only. */
    long logged(String word) throws Exception {
        long count = 0;
        for (Entry entry : entries) {
            try (var lines = Files.lines(folder.resolve(entry.name + ".log"))) {
                count += lines.filter(line -> line.contains(word)).count();
            }
        }
        return count;
    }

    void until(long millis) throws InterruptedException {
        long left = millis - Clock.millis();
        if (left > 0) Thread.sleep(left);
    }
}
