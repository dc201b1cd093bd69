package review;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry instance: a process of the project, started with the command and the template of the deploy file. */
final class Entry {
    final String name;
    final String zone;
    final String front;
    final String ready;
    private final Path root;
    private final Path folder;
    private final Map<String, String> fields;
    private final String metrics;
    Process process;
    private int starts;

    Entry(Path root, Path folder, String name, String zone, String store, String cloud) throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.zone = zone;
        front = "127.0.0.1:" + freePort();
        ready = "127.0.0.1:" + freePort();
        metrics = "127.0.0.1:" + freePort();
        String report = freePort();
        // The figures of sites/mshikamano-book.toml.
        fields = new java.util.HashMap<>(Map.of(
            "node_name", name, "zone", zone, "listen.front", front, "listen.ready", ready,
            "ip", "127.0.0.1", "internal_ports.0", report, "bounds.grace_s", "8",
            "platform.address", store, "cloud.address", cloud, "bootstrap", "true"));
        fields.putAll(Map.of(
            "bounds.lease_ms", "3000", "bounds.usage_window_s", "5", "bounds.usage_late_s", "10",
            "bounds.budget_ratio", "0.2", "bounds.budget_slack", "58", "bounds.budget_window_s", "10",
            "bounds.quota_window_s", "8", "bounds.quota_over", "0.1", "bounds.quota_slack", "140000"));
    }

    private static String freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return "" + s.getLocalPort();
        }
    }

    void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("the deploy file names no command");
        String settings = Files.readString(root.resolve("platform/entry.ini"))
            .replace("{{ip}}:9464", metrics);
        for (var field : fields.entrySet()) settings = settings.replace("{{" + field.getKey() + "}}", field.getValue());
        Path file = folder.resolve(name + ".ini");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            command.add(word.equals("/etc/berylpoint/node.yaml") ? file.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().put("BERYLPOINT_CONFIG", file.toString());
        builder.environment().put("BERYLPOINT_DRAIN_MILLIS", "2000");
        builder.environment().put("BERYLPOINT_CONFIG_MILLIS", "2000");
        process = builder.start();
        starts++;
    }

    boolean isReady() {
        try (Socket s = Http.connect(ready, 500)) {
            s.setSoTimeout(1_000);
            s.getOutputStream().write("GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message answer = Http.read(s.getInputStream(), true);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    void kill() throws InterruptedException {
        if (process == null) return;
        process.destroyForcibly();
        process.waitFor();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
    }
}
