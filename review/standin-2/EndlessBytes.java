package review;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Half of the model workers send bytes without end in the bodies of their answers. The streams of the other half, and
 * the answers of the plain workers, have to come all the same.
 */
final class EndlessBytes extends Case {
    private static final int ENGINES = 40;
    private static final int ROGUES = 16;
    private static final int STREAM_BUDGET_MILLIS = 12_093;
    /** Four times the objective, after which a client abandons a stream. */
    private static final int GAP_MILLIS = 10_076;
    private static final int LOAD_MILLIS = 40_000;
    private final Map<String, Integer> sound = new TreeMap<>();
    private final Map<String, Integer> others = new TreeMap<>();
    private final Map<String, Integer> bookings = new TreeMap<>();
    private final Set<String> ofRogues = ConcurrentHashMap.newKeySet();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    private EndlessBytes(String record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new EndlessBytes(args[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", Site.config(7));
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker("i-" + i, 6, 24, 21);
            store.put("servers", worker.id, Site.entry("desk", worker.server.address, zone(i), "v1", 6, "ready"));
        }
        for (int i = 0; i < ENGINES; i++) {
            Worker worker = trouble && i < ROGUES ? rogue(i) : new Engine("m-" + i, 16, 30, 42, 200);
            store.put("servers", worker.id, Site.entry("llm", worker.server.address, zone(i), "v1", 16, "ready"));
        }
        startEntries(2);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        ExecutorService clients = Executors.newCachedThreadPool();
        AtomicInteger number = new AtomicInteger();
        timer.scheduleAtFixedRate(() -> {
            int n = number.incrementAndGet();
            clients.execute(() -> stream(n));
        }, 0, 1_000_000 / 71, TimeUnit.MICROSECONDS);
        timer.scheduleAtFixedRate(() -> {
            int n = number.incrementAndGet();
            clients.execute(() -> book(n));
        }, 0, 1_000_000 / 20, TimeUnit.MICROSECONDS);
        until(LOAD_MILLIS);
        timer.shutdownNow();
        clients.shutdown();
        clients.awaitTermination(20, TimeUnit.SECONDS);
        note("streams of sound workers: " + sound);
        note("other streams: " + others);
        note("bookings, all of them at sound workers: " + bookings + "; ran, but answered 502: " + lost);
        note("lines with body-too-large in the logs of the instances: " + logged("body-too-large"));
        note("streams that a sound worker wrote whole, and whose kept channel the instance closed: " + cut
            + " (three are allowed)");
        return cut.get() <= 3;
    }

    private Worker rogue(int i) throws Exception {
        return new Rogue("m-" + i, 16, 30) {
            @Override
            boolean run(Http.Message request, String echo, java.io.OutputStream out) throws Exception {
                ofRogues.add(request.header("X-Berylpoint-Request-Id"));
                return super.run(request, echo, out);
            }
        };
    }

    private static String zone(int i) {
        return "ne-" + "ab".charAt(i % 2);
    }

    private void stream(int n) {
        String id = "s" + n;
        long sent = Clock.millis();
        try (Client client = new Client(entries.get(n / 2 % 2).front)) {
            String first = client.plain("GET", "/look/" + n, "l" + n, 600, new byte[0]);
            String end = first.equals("200") ? client.stream("/plan/x", id, STREAM_BUDGET_MILLIS, GAP_MILLIS) : "-";
            boolean isSound = Worker.RUNS.containsKey(id) && !ofRogues.contains(id);
            detail(id + " sent " + sent + " ms, ended " + Clock.millis() + " ms: " + end + (isSound ? ", at a sound worker"
                + (Engine.WRITTEN.contains(id) ? " that wrote it whole" : "") : ""));
            synchronized (this) {
                (isSound ? sound : others).merge(end, 1, Integer::sum);
            }
            if (isSound && end.equals("cut") && Engine.WRITTEN.contains(id)) cut.incrementAndGet();
        } catch (java.io.IOException e) {
            detail(id + ": no channel: " + e);
        }
    }

    private void book(int n) {
        String id = "b" + n;
        try (Client client = new Client(entries.get(n / 2 % 2).front)) {
            String end = client.plain("POST", "/book/x", id, 600, Client.body(id, 600));
            if (end.equals("502") && Worker.RUNS.containsKey(id)) lost.incrementAndGet();
            detail(id + ": " + end + (Worker.RUNS.containsKey(id) ? ", ran" : ""));
            synchronized (this) {
                bookings.merge(end, 1, Integer::sum);
            }
        } catch (java.io.IOException e) {
            detail(id + ": no channel: " + e);
        }
    }
}
