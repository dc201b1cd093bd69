package review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A version turns bad late in its roll-out and is rolled back. One entry instance is killed after that and starts again
 * while the workers of the bad version are still there.
 */
final class RestartInRollout extends Case {
    private static final int CONTACT_MILLIS = 4_000;
    private static final int ROLLBACK_MILLIS = 5_000;
    private static final int ROLLOUT_SECONDS = 40;
    private static final int ORDER_MILLIS = 2_000;
    /** When the version turns bad: well before it would be completed, and with most of the traffic. */
    private static final int BAD_MILLIS = ORDER_MILLIS + 28_000;
    private static final double BAD_SHARE = 0.6;
    private static final int RESTART_DELAY_MILLIS = 1_000;
    /** "Some seconds" after the state `rolled_back`, at which the new workers drain. */
    private static final int DRAIN_AFTER_MILLIS = 10_000;
    private final Random random = new Random(46);
    private final Map<String, long[]> sent = new ConcurrentHashMap<>();
    private final List<Long> badAnswers = new ArrayList<>();
    private final List<String> atNewVersion = new ArrayList<>();
    private volatile long startedAgainMillis = Long.MAX_VALUE;

    private RestartInRollout(String record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new RestartInRollout(args[0]).run();
    }

    /** A worker of the new version: from a moment on a share of its answers are failures. */
    private final class NewWorker extends Worker {
        NewWorker(String id) throws Exception {
            super(id, 6, 24, 60);
        }

        @Override
        boolean run(Http.Message request, String echo, OutputStream out) throws Exception {
            boolean isBad;
            synchronized (badAnswers) {
                atNewVersion.add(request.header("X-Berylpoint-Request-Id"));
                isBad = Clock.millis() >= BAD_MILLIS && random.nextDouble() < BAD_SHARE;
            }
            if (!isBad) return super.run(request, echo, out);
            Thread.sleep(60);
            synchronized (badAnswers) {
                badAnswers.add(Clock.millis());
            }
            Http.send(out, 500, echo + "X-Berylpoint-Response-Seal: 3e1b.07\r\n", new byte[10]);
            return true;
        }
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", Site.config(7));
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker("old-" + i, 6, 24, 60);
            store.put("servers", worker.id, entry(worker, i, "v1", "ready"));
        }
        startEntries(4);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        ExecutorService clients = Executors.newCachedThreadPool();
        AtomicInteger number = new AtomicInteger();
        timer.scheduleAtFixedRate(() -> {
            int n = number.incrementAndGet();
            clients.execute(() -> ask(n));
        }, 0, 1_000_000 / 105, TimeUnit.MICROSECONDS);
        until(ORDER_MILLIS);
        store.put("op", "rollout/desk", "{\"service\":\"desk\",\"to\":\"v2\",\"duration_s\":" + ROLLOUT_SECONDS + "}");
        note("the roll-out to v2 is ordered");
        List<Worker> newWorkers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Worker worker = new NewWorker("new-" + i);
            newWorkers.add(worker);
            store.put("servers", worker.id, entry(worker, i, "v2", "ready"));
        }
        String state = "";
        while (!state.equals("rolled_back") && !state.equals("completed") && Clock.millis() < 50_000) {
            Thread.sleep(10);
            String row = store.get("status", "rollout/desk");
            if (row == null || state.equals(Json.object(row).get("state"))) continue;
            state = (String) Json.object(row).get("state");
            note("status/rollout/desk: " + row);
        }
        if (!state.equals("rolled_back")) throw new IllegalStateException("the version was not rolled back");
        long rolledBack = Clock.millis();
        until(rolledBack + 200);
        if (trouble) {
            Entry killed = entries.get(1);
            killed.kill();
            note(killed.name + " was killed");
            Thread.sleep(RESTART_DELAY_MILLIS);
            startedAgainMillis = Clock.millis();
            killed.start();
            note(killed.name + " starts again");
        }
        until(rolledBack + DRAIN_AFTER_MILLIS);
        for (int i = 0; i < 4; i++) store.put("servers", "new-" + i, entry(newWorkers.get(i), i, "v2", "draining"));
        note("the workers of v2 drain; status/rollout/desk: " + store.get("status", "rollout/desk"));
        until(rolledBack + DRAIN_AFTER_MILLIS + 2_500);
        timer.shutdownNow();
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        return judge();
    }

    private static String entry(Worker worker, int i, String version, String state) {
        return Site.entry("desk", worker.server.address, "ne-" + "abcd".charAt(i), version, 6, state);
    }

    private boolean judge() {
        synchronized (badAnswers) {
            if (badAnswers.size() < 50) throw new IllegalStateException("only " + badAnswers.size() + " bad answers");
            Map<String, Integer> byInstance = new java.util.TreeMap<>();
            long limit = badAnswers.get(49) + ROLLBACK_MILLIS;
            note("bad answers: " + badAnswers.size() + ", the 50th at " + badAnswers.get(49) + " ms");
            int late = 0;
            for (String id : atNewVersion) {
                long[] request = sent.get(id);
                detail(id + " sent " + request[0] + " ms to " + entries.get((int) request[1]).name + " reached v2");
                boolean inTouch = request[1] != 1 || !trouble || request[0] >= startedAgainMillis + CONTACT_MILLIS;
                if (request[0] > limit && inTouch) {
                    late++;
                    byInstance.merge(entries.get((int) request[1]).name, 1, Integer::sum);
                }
            }
            note("requests to the bad version later than " + ROLLBACK_MILLIS
                + " ms after its 50th bad answer, by way of instances in touch: " + late + " (none is allowed) " + byInstance);
            return late == 0;
        }
    }

    private void ask(int n) {
        String id = "r" + n;
        int at = n % 4;
        sent.put(id, new long[] {Clock.millis(), at});
        try (Client client = new Client(entries.get(at).front)) {
            String end = n % 7 < 2 ? client.plain("GET", "/look/" + n, id, 3_000, new byte[0])
                : client.plain("POST", "/book/x", id, 3_000, Client.body(id, 600));
            detail(id + " sent " + sent.get(id)[0] + " ms to " + entries.get(at).name + ": " + end);
        } catch (java.io.IOException e) {
            detail(id + " to " + entries.get(at).name + ": no channel");
        }
    }
}
