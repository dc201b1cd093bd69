import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Half of the processes are killed at the same moment, those that wait for the store's changes for all others. Right
 * after it a key is withdrawn and a worker leaves; the machines that live on have to follow in time.
 */
final class Survivors {
    private static final int MACHINES = 8, CONFIG_MS = 2_000, DRAIN_MS = 2_000, DARK_MS = 2_000, TIMEOUT_MS = 1_200;
    private static final String WITHDRAWN = "key-that-is-withdrawn";

    private static final class Sent {
        final double at;
        final Instance instance;
        final boolean isWithdrawn;

        Sent(double at, Instance instance, boolean isWithdrawn) {
            this.at = at;
            this.instance = instance;
            this.isWithdrawn = isWithdrawn;
        }
    }

    public static void main(String[] args) {
        Rig.run(args, Survivors::run);
    }

    /** Waits until each machine that doesn't wait for changes has asked for them lately; it does so each 10 s. */
    private static void awaitQuestions(Rig rig, Set<Instance> machines) throws InterruptedException {
        double limit = rig.record.seconds() + 15;
        while (rig.isTroubled && rig.record.seconds() < limit) {
            boolean haveAsked = true;
            for (int i = 0; i < MACHINES; i++) {
                double age = (System.nanoTime() - rig.doors.get(i).askedAt) / 1e9;
                if (machines.contains(rig.instances.get(i)) && (age < 1 || age > 5)) haveAsked = false;
            }
            if (haveAsked) return;
            Thread.sleep(50);
        }
        Thread.sleep(2_000);
    }

    private static void restart(Rig rig, List<Instance> killed) {
        try {
            Thread.sleep(DARK_MS);
            for (Instance instance : killed) instance.start();
        } catch (Exception e) {
            rig.record.say("a process did not start again: %s", e);
        }
    }

    private static String config(int version, boolean isWithdrawn) {
        String keys = "\"" + Rig.KEY + "\"" + (isWithdrawn ? "" : ",\"" + WITHDRAWN + "\"");
        return Rig.config(version, Rig.route("book", "non_idempotent", TIMEOUT_MS, 150, "app", 1, false), Rig.service("app"), keys);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("op", "config", config(1, false));
        ConcurrentHashMap<String, Sent> sent = new ConcurrentHashMap<>();
        double[] withdrawnAt = {-1}, drainedAt = {-1};
        List<String> wrongKey = Collections.synchronizedList(new ArrayList<>()), wrongWorker = Collections.synchronizedList(new ArrayList<>());
        Worker[] leaving = new Worker[1];
        Set<Instance> survivors = ConcurrentHashMap.newKeySet();
        Worker.Job job = (worker, request, answer) -> {
            double now = rig.record.seconds();
            Sent s = sent.get(request.id);
            rig.record.line("%s runs %s from %s%s", worker.id, request.id, s.instance.name, s.isWithdrawn ? " (withdrawn key)" : "");
            if (survivors.contains(s.instance)) {
                if (s.isWithdrawn && withdrawnAt[0] > 0 && s.at > withdrawnAt[0] + CONFIG_MS / 1e3) wrongKey.add(request.id);
                if (worker == leaving[0] && drainedAt[0] > 0 && now > drainedAt[0] + DRAIN_MS / 1e3) wrongWorker.add(request.id);
            }
            Thread.sleep(60);
            answer.whole(200, "booked " + request.id);
        };
        String[] zones = {"zone-a", "zone-b", "zone-c", "zone-d"};
        for (int i = 0; i < 4; i++) rig.addWorker("w" + i, "app", "v1", zones[i], 16, job);
        leaving[0] = rig.addWorker("w-leaving", "app", "v1", zones[0], 16, job);
        for (int i = 0; i < MACHINES; i++) rig.addInstance("front-" + i, zones[i % 4]);
        rig.startAll();
        // The machines agree who waits for changes; a wait lasts 10 s at most.
        Thread.sleep(16_000);
        List<Instance> readers = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            if (System.nanoTime() - rig.doors.get(i).waitedAt < 11_500_000_000L && rig.doors.get(i).waitedAt > 0) readers.add(rig.instances.get(i));
            else survivors.add(rig.instances.get(i));
        }
        rig.record.say("%d of %d machines wait for changes at the store", readers.size(), MACHINES);
        if (!rig.isTroubled) survivors.addAll(readers);
        boolean[] isOver = {false};
        AtomicInteger ids = new AtomicInteger(), lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (Instance instance : survivors) {
            for (int c = 0; c < 10; c++) {
                boolean isWithdrawn = c < 3;
                threads.add(Worker.daemon(() -> {
                    try {
                        while (!isOver[0]) {
                            String id = "b" + ids.incrementAndGet();
                            sent.put(id, new Sent(rig.record.seconds(), instance, isWithdrawn));
                            String head = Rig.request("POST", "/book/" + id, id, TIMEOUT_MS, "");
                            if (isWithdrawn) head = head.replace(Rig.KEY, WITHDRAWN);
                            Client.Result result = Client.once(instance.address(), head, "{}".getBytes(), TIMEOUT_MS + 500);
                            if (result.status == 502) lost.incrementAndGet();
                            rig.record.line("%s to %s%s: %s", id, instance.name, isWithdrawn ? " (withdrawn key)" : "", result);
                            Thread.sleep(isWithdrawn ? 100 : 300);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }));
            }
        }
        awaitQuestions(rig, survivors);
        if (rig.isTroubled) {
            for (Instance instance : readers) instance.process.destroyForcibly();
            rig.record.say("%d of %d processes are killed at once", readers.size(), MACHINES);
            Worker.daemon(() -> restart(rig, readers));
        }
        Thread.sleep(100);
        rig.store.put("op", "config", config(2, true));
        withdrawnAt[0] = rig.record.seconds();
        rig.store.put("servers", "w-leaving", leaving[0].entry("draining", 2));
        drainedAt[0] = rig.record.seconds();
        rig.record.say("the store has confirmed config 2, without the key, and that w-leaving is draining");
        Thread.sleep(DRAIN_MS + 1_500);
        rig.store.remove("servers", "w-leaving");
        leaving[0].close();
        rig.record.say("w-leaving ends");
        Thread.sleep(6_000);
        isOver[0] = true;
        for (Thread thread : threads) thread.join();
        rig.record.say("%d requests with the withdrawn key were sent over %d ms after the confirmation and run", wrongKey.size(), CONFIG_MS);
        rig.record.say("%d requests reached the leaving worker over %d ms after the confirmation", wrongWorker.size(), DRAIN_MS);
        rig.record.say("%d accepted bookings ended with 502", lost.get());
        return !wrongKey.isEmpty() || !wrongWorker.isEmpty();
    }
}
