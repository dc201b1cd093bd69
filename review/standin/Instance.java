import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One process of the project, started as the deploy file says: with the command of its role, in the root of the
 * repository, with the template of its settings filled in, on a loopback address of its own.
 */
final class Instance {
    private static int addresses = 0;
    private static final int FIRST = 20 + (int) (ProcessHandle.current().pid() % 200);

    final String name, zone, ip;
    final int front, ready;
    private final Path root, folder, settings;
    private final Record record;
    private final List<String> command;
    private int starts = 0;
    Process process;

    Instance(Path root, Path folder, Record record, String name, String zone, String store, String cloud) throws IOException {
        this.root = root;
        this.folder = folder;
        this.record = record;
        this.name = name;
        this.zone = zone;
        ip = freeAddress();
        front = freePort(ip);
        ready = freePort(ip);
        Map<String, String> values = new HashMap<>();
        values.put("node_name", name);
        values.put("zone", zone);
        values.put("ip", ip);
        values.put("listen.front", ip + ":" + front);
        values.put("listen.ready", ip + ":" + ready);
        values.put("internal_ports.0", Integer.toString(freePort(ip)));
        values.put("platform.address", store);
        values.put("cloud.address", cloud);
        values.put("bootstrap", "true");
        values.putAll(Map.of("bounds.grace_s", "8", "bounds.lease_ms", "3000", "bounds.usage_window_s", "5",
            "bounds.usage_late_s", "10", "bounds.budget_ratio", "0.2", "bounds.budget_slack", "56",
            "bounds.budget_window_s", "10", "bounds.quota_window_s", "8", "bounds.quota_over", "0.1",
            "bounds.quota_slack", "140000"));
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        settings = folder.resolve(name + ".ini");
        Files.writeString(settings, fill(Files.readString(root.resolve(quoted(deploy, "template"))), values));
        String run = quoted(deploy.substring(deploy.indexOf("[roles.entry]")), "run");
        command = new ArrayList<>(List.of(run.replace("/etc/berylpoint/node.yaml", settings.toString()).split(" ")));
    }

    private static String quoted(String toml, String key) {
        Matcher m = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(toml);
        if (!m.find()) throw new IllegalStateException("the deploy file has no " + key);
        return m.group(1);
    }

    private static String fill(String template, Map<String, String> values) {
        Matcher m = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(template);
        return m.replaceAll(r -> {
            String value = values.get(r.group(1));
            if (value == null) throw new IllegalStateException("the template asks for " + r.group(1));
            return Matcher.quoteReplacement(value);
        });
    }

    /** A loopback address on which the port of the metrics is free. */
    private static synchronized String freeAddress() throws IOException {
        while (addresses < 200) {
            String ip = "127.0." + FIRST + "." + (10 + addresses++);
            try (ServerSocket probe = new ServerSocket(9464, 1, InetAddress.getByName(ip))) {
                return ip;
            } catch (IOException e) {
                // Another process has it.
            }
        }
        throw new IOException("no free loopback address");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return probe.getLocalPort();
        }
    }

    String address() {
        return ip + ":" + front;
    }

    Path log() {
        return folder.resolve(name + "-" + starts + ".log");
    }

    void start() throws IOException {
        starts++;
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        Map<String, String> env = builder.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("BERYLPOINT_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(log().toFile());
        process = builder.start();
        record.say("process %s starts (pid %d)", name, process.pid());
    }

    /** Whether the readiness check answers 200 now. */
    boolean isReady() {
        Client.Result result = Client.once(ip + ":" + ready, "GET /api/ready HTTP/1.1\r\nHost: " + ip + "\r\n", new byte[0], 1_000);
        return result.end == Client.End.COMPLETE && result.status == 200;
    }

    boolean awaitReady(int millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() < until) {
            if (isReady()) return true;
            if (!process.isAlive()) return false;
            Thread.sleep(50);
        }
        return false;
    }

    /** Why the process isn't ready, with the end of what it wrote. */
    String describeFailedStart() throws IOException {
        List<String> lines = Files.readAllLines(log());
        String end = process.isAlive() ? "it runs" : "it ended with code " + process.exitValue();
        return name + " is not ready, " + end + ":\n" + String.join("\n", lines.subList(Math.max(0, lines.size() - 40), lines.size()));
    }

    /** Sends SIGTERM. */
    void terminate() {
        record.say("process %s gets SIGTERM", name);
        process.destroy();
    }

    void kill() {
        if (process == null || !process.isAlive()) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
