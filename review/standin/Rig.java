import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What every script needs: the store, the workers, the processes of the project, and their end. */
final class Rig implements AutoCloseable {
    private static final long LIMIT_MS = 116_000;
    static final String HOST = "site.example", KEY = "key-of-the-tenant";

    final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    final Record record;
    final Store store;
    final List<Instance> instances = new ArrayList<>();
    final List<Store.Door> doors = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final Path root, folder;

    /** The case's folder is the first argument, the root of the repository the second. */
    Rig(String[] args) throws IOException {
        root = Path.of(args[1]).toAbsolutePath();
        folder = Files.createTempDirectory("review");
        record = new Record(Path.of(args[0]).resolve("record.txt"));
        store = new Store(record);
        record.say("trouble: %s", isTroubled ? "yes" : "no");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        Worker.daemon(this::limitTime);
    }

    Instance addInstance(String name, String zone) throws IOException {
        Store.Door door = store.door(name);
        Instance instance = new Instance(root, folder, record, name, zone, door.address(), door.address());
        doors.add(door);
        instances.add(instance);
        return instance;
    }

    /** Starts a worker and registers it. */
    Worker addWorker(String id, String service, String version, String zone, int slots, Worker.Job job) throws IOException {
        Worker worker = new Worker(id, service, version, zone, slots, job);
        workers.add(worker);
        store.put("servers", id, worker.entry("ready", 1));
        return worker;
    }

    void startAll() throws Exception {
        for (Instance instance : instances) instance.start();
        for (Instance instance : instances) {
            if (!instance.awaitReady(20_000)) throw new IllegalStateException(instance.describeFailedStart());
        }
        record.say("all processes are ready");
    }

    /** A configuration of the site; routes and services are given as JSON. */
    static String config(int version, String routes, String services, String keys) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[" + keys + "],\"priority\":1,"
            + "\"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";
    }

    static String route(String name, String kind, int timeout, int target, String service, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target + ",\"priority\":1,\"service\":\"" + service
            + "\",\"attempts\":" + attempts + ",\"public\":false,\"sticky\":false,\"resumable\":" + resumable
            + (kind.equals("streaming") ? ",\"gap_aim_ms\":300" : "") + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }

    static String request(String method, String path, String id, int deadline, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Berylpoint-Request-Id: " + id
            + "\r\nX-Berylpoint-Request-Deadline: " + deadline + "\r\nAuthorization: Bearer " + KEY + "\r\n" + more;
    }

    /** A script that takes too long could not run. */
    private void limitTime() {
        try {
            Thread.sleep(LIMIT_MS);
        } catch (InterruptedException e) {
            return;
        }
        System.err.println("the script took over " + LIMIT_MS + " ms");
        System.exit(2);
    }

    private void end() {
        for (Instance instance : instances) instance.kill();
        record.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    @Override
    public void close() {
        for (Worker worker : workers) worker.close();
    }

    /** Runs {@code script}; its answer says whether the rule was broken. */
    static void run(String[] args, Script script) {
        int code = 2;
        try (Rig rig = new Rig(args)) {
            boolean isBroken = script.run(rig);
            rig.record.say(isBroken ? "the rule was broken" : "the rule held");
            code = isBroken ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    interface Script {
        boolean run(Rig rig) throws Exception;
    }
}
