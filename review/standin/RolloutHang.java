import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A version is rolled out while clients send requests; each must be answered by its route's timeout and half a second. */
final class RolloutHang {
    private static final int MACHINES = 8, PER_MACHINE = 25, TIMEOUT_MS = 1_200, SECONDS = 80, DURATION_S = 90;

    private static final class Sent {
        final String id;
        final Instance instance;
        final double at;
        volatile long answeredAfter = -1;
        volatile String outcome = "none";

        Sent(String id, Instance instance, double at) {
            this.id = id;
            this.instance = instance;
            this.at = at;
        }
    }

    public static void main(String[] args) {
        Rig.run(args, RolloutHang::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("op", "config", Rig.config(1, Rig.route("lookup", "safe", TIMEOUT_MS, 150, "app", 2, false),
            Rig.service("app"), "\"" + Rig.KEY + "\""));
        Worker.Job job = (worker, request, answer) -> {
            Thread.sleep(20 + request.id.hashCode() % 10);
            answer.whole(200, "answer to " + request.id);
        };
        String[] zones = {"zone-a", "zone-b", "zone-c", "zone-d"};
        for (int i = 0; i < 6; i++) rig.addWorker("old-" + i, "app", "v1", zones[i % 4], 16, job);
        for (int i = 0; i < MACHINES; i++) rig.addInstance("front-" + i, zones[i % 4]);
        rig.startAll();
        List<Sent> all = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger ids = new AtomicInteger();
        double end = rig.record.seconds() + 4 + SECONDS;
        List<Thread> threads = new ArrayList<>();
        for (Instance instance : rig.instances) {
            for (int c = 0; c < PER_MACHINE; c++) {
                threads.add(Worker.daemon(() -> send(rig, instance, all, ids, end)));
            }
        }
        Thread.sleep(4_000);
        if (rig.isTroubled) {
            for (int i = 0; i < 6; i++) rig.addWorker("new-" + i, "app", "v2", zones[i % 4], 16, job);
            rig.store.put("op", "rollout/app", "{\"service\":\"app\",\"to\":\"v2\",\"duration_s\":" + DURATION_S + "}");
            rig.record.say("the operator orders the rollout of app to v2 in %d s", DURATION_S);
        }
        for (Thread thread : threads) thread.join();
        return judge(rig, all);
    }

    /** One client: a request a second, each on a new channel. */
    private static void send(Rig rig, Instance instance, List<Sent> all, AtomicInteger ids, double end) {
        try {
            Thread.sleep((long) (Math.random() * 1_000));
            while (rig.record.seconds() < end) {
                Sent sent = new Sent("r" + ids.incrementAndGet(), instance, rig.record.seconds());
                all.add(sent);
                long start = System.nanoTime();
                Client.Result result = Client.once(instance.address(),
                    Rig.request("GET", "/lookup/" + sent.id, sent.id, 2_500, ""), new byte[0], TIMEOUT_MS + 1_000);
                sent.outcome = result.toString();
                if (result.end == Client.End.COMPLETE) sent.answeredAfter = result.millis;
                rig.record.line("%s to %s: %s", sent.id, instance.name, sent.outcome);
                Thread.sleep(Math.max(0, 1_000 - (System.nanoTime() - start) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean judge(Rig rig, List<Sent> all) {
        boolean isBroken = false;
        int late = 0, never = 0;
        for (Instance instance : rig.instances) {
            int lateHere = 0, neverHere = 0;
            double first = -1;
            for (Sent sent : all) {
                if (sent.instance != instance) continue;
                if (sent.answeredAfter >= 0 && sent.answeredAfter <= TIMEOUT_MS) continue;
                lateHere++;
                if (sent.answeredAfter >= 0 && sent.answeredAfter <= TIMEOUT_MS + 500) continue;
                neverHere++;
                if (first < 0 || sent.at < first) first = sent.at;
            }
            late += lateHere;
            never += neverHere;
            rig.record.say("%s: %d requests unanswered at their route's timeout, %d of them half a second later (first sent at %.3f); ready: %s",
                instance.name, lateHere, neverHere, first, instance.isReady());
        }
        rig.record.say("%d requests; %d unanswered at the timeout, %d half a second later", all.size(), late, never);
        if (never >= 8 && never * 2 > late) isBroken = true;
        return isBroken;
    }
}
