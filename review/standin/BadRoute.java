import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** A version that fails on one route only is rolled out; it must get a small part of its service's requests. */
final class BadRoute {
    private static final int MACHINES = 4, DURATION_S = 30, TIMEOUT_MS = 2_500;
    private static final double FAILED_SHARE = 0.25, EXPOSE_SHARE = 0.1, EXPOSE_SLACK = 50, ROLLBACK_S = 5;

    /** Routes of the service with their requests a second, in the proportions of the sheet. */
    private static final String[] ROUTES = {"report", "chat", "tag"};
    private static final int[] PER_SECOND = {6, 16, 10};

    public static void main(String[] args) {
        Rig.run(args, BadRoute::run);
    }

    private static boolean run(Rig rig) throws Exception {
        StringBuilder routes = new StringBuilder();
        for (String name : ROUTES) {
            if (routes.length() > 0) routes.append(',');
            routes.append(Rig.route(name, "streaming", TIMEOUT_MS, 400, "llm", 2, true));
        }
        rig.store.put("op", "config", Rig.config(1, routes.toString(), Rig.service("llm"), "\"" + Rig.KEY + "\""));
        AtomicInteger oldRuns = new AtomicInteger(), newRuns = new AtomicInteger(), bad = new AtomicInteger();
        double[] fiftieth = {-1};
        AtomicInteger late = new AtomicInteger();
        Random random = new Random(7);
        Worker.Job good = (worker, request, answer) -> {
            (worker.version.equals("v1") ? oldRuns : newRuns).incrementAndGet();
            rig.record.line("%s (%s) runs %s %s", worker.id, worker.version, request.target, request.id);
            if (worker.version.equals("v2") && fiftieth[0] >= 0 && rig.record.seconds() > fiftieth[0] + ROLLBACK_S) late.incrementAndGet();
            Thread.sleep(20);
            boolean fails;
            synchronized (random) {
                fails = worker.version.equals("v2") && request.target.startsWith("/report/") && random.nextDouble() < FAILED_SHARE;
            }
            if (fails) {
                rig.record.line("%s (%s) answers %s with 500", worker.id, worker.version, request.id);
                if (bad.incrementAndGet() == 50) fiftieth[0] = rig.record.seconds();
                answer.whole(500, "failed");
                return;
            }
            answer.startStream();
            for (int i = 1; i <= 3; i++) {
                answer.event(i, "piece " + i);
                Thread.sleep(20);
            }
            answer.endStream();
        };
        String[] zones = {"zone-a", "zone-b"};
        for (int i = 0; i < 6; i++) rig.addWorker("old-" + i, "llm", "v1", zones[i % 2], 64, good);
        for (int i = 0; i < MACHINES; i++) rig.addInstance("front-" + i, zones[i % 2]);
        rig.startAll();
        double end = rig.record.seconds() + 5 + DURATION_S;
        AtomicInteger ids = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int r = 0; r < ROUTES.length; r++) {
            String route = ROUTES[r];
            for (int c = 0; c < PER_SECOND[r]; c++) threads.add(Worker.daemon(() -> send(rig, route, ids, end)));
        }
        Thread.sleep(5_000);
        if (rig.isTroubled) {
            for (int i = 0; i < 6; i++) rig.addWorker("new-" + i, "llm", "v2", zones[i % 2], 64, good);
            rig.store.put("op", "rollout/llm", "{\"service\":\"llm\",\"to\":\"v2\",\"duration_s\":" + DURATION_S + "}");
            rig.record.say("the operator orders the rollout of llm to v2 in %d s", DURATION_S);
        }
        int before = oldRuns.get() + newRuns.get();
        for (Thread thread : threads) thread.join();
        int all = oldRuns.get() + newRuns.get() - before;
        double bound = EXPOSE_SHARE * all + EXPOSE_SLACK;
        rig.record.say("status: %s", rig.store.read("status", "rollout/llm"));
        rig.record.say("between the order and its time budget %d requests reached the service, %d of them the bad version (bound %.0f); %d bad answers",
            all, newRuns.get(), bound, bad.get());
        rig.record.say("50th bad answer at %.3f; %d requests reached the bad version more than %.0f s later", fiftieth[0], late.get(), ROLLBACK_S);
        return newRuns.get() > bound;
    }

    private static void send(Rig rig, String route, AtomicInteger ids, double end) {
        try {
            Thread.sleep((long) (Math.random() * 1_000));
            while (rig.record.seconds() < end) {
                int n = ids.incrementAndGet();
                long start = System.nanoTime();
                Client.Result result = Client.once(rig.instances.get(n % MACHINES).address(),
                    Rig.request("POST", "/" + route + "/" + n, "r" + n, TIMEOUT_MS, "X-Berylpoint-Token-Usage: 20,30\r\n"), ("{\"n\":" + n + "}").getBytes(), TIMEOUT_MS + 500);
                rig.record.line("r%d: %s", n, result);
                Thread.sleep(Math.max(0, 1_000 - (System.nanoTime() - start) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
