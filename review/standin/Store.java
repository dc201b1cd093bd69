import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The platform's store in its form with tables, and the platform's API of the duties, as PROTOCOL.md describes them.
 * Each machine has a door of its own to the one store, so that the store can turn single machines away.
 */
final class Store {
    private static final class Row {
        final String table, key;
        final byte[] value;
        final long ver;
        final boolean gone;

        Row(String table, String key, byte[] value, long ver, boolean gone) {
            this.table = table;
            this.key = key;
            this.value = value;
            this.ver = ver;
            this.gone = gone;
        }

        String json() {
            String value64 = gone ? "" : Base64.getEncoder().encodeToString(value);
            return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + ",\"value\":\""
                + value64 + "\",\"ver\":" + ver + (gone ? ",\"tombstone\":true" : "") + "}";
        }
    }

    /** What the store does with the calls of one machine. */
    enum Mode { SERVE, BUSY }

    /** One machine's way to the store. */
    final class Door {
        volatile Mode mode = Mode.SERVE;
        final HttpServer server;
        final AtomicLong refused = new AtomicLong();

        /** Time of the newest call that asked to wait for changes, in nanoseconds; 0 without one. */
        volatile long waitedAt;

        /** Time of the newest call that asked for changes without a wait, in nanoseconds; 0 without one. */
        volatile long askedAt;

        /** Name of the machine. */
        final String name;

        Door(String name) throws IOException {
            this.name = name;
            server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
            server.setExecutor(threads);
            server.createContext("/", exchange -> {
                try {
                    handle(this, exchange);
                } catch (RuntimeException e) {
                    e.printStackTrace();
                    reply(exchange, 400, "{}");
                }
            });
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }
    }

    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Record record;
    private long ver = 1;

    Store(Record record) {
        this.record = record;
    }

    Door door(String name) throws IOException {
        return new Door(name);
    }

    /** Writes one row as the operator or a worker does; returns when the store has confirmed it. */
    synchronized void put(String table, String key, String value) {
        ver++;
        write(table, key, value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        ver++;
        delete(table, key);
        notifyAll();
    }

    /** The value of one row, or null. */
    synchronized String read(String table, String key) {
        Row row = row(table, key);
        return row == null ? null : new String(row.value, StandardCharsets.UTF_8);
    }

    private Row row(String table, String key) {
        return tables.getOrDefault(table, new TreeMap<>()).get(key);
    }

    private void write(String table, String key, byte[] value) {
        Row row = new Row(table, key, value, ver, false);
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, row);
        history.add(row);
    }

    private void delete(String table, String key) {
        if (row(table, key) == null) return;
        tables.get(table).remove(key);
        history.add(new Row(table, key, new byte[0], ver, true));
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void handle(Door door, HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        if (path.equals("/usage") || path.equals("/scaling")) {
            reply(exchange, 200, "{}");
            return;
        }
        if (door.mode == Mode.BUSY) {
            door.refused.incrementAndGet();
            reply(exchange, 503, "{}");
            return;
        }
        switch (path) {
            case "/api/rows-get": reply(exchange, 200, get(query)); break;
            case "/api/rows-feed":
                String changes = feed(query, door);
                if (changes == null) reply(exchange, 503, "{}");
                else reply(exchange, 200, changes);
                break;
            case "/api/rows-tx": transaction(exchange, new String(body, StandardCharsets.UTF_8)); break;
            default: reply(exchange, 404, "{}");
        }
    }

    private synchronized String get(Map<String, String> query) {
        StringBuilder rows = new StringBuilder();
        String from = query.getOrDefault("from", "");
        for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from).values()) {
            if (rows.length() > 0) rows.append(',');
            rows.append(row.json());
        }
        return "{\"rows\":[" + rows + "],\"has_more\":false,\"ver\":" + ver + ",\"now_ms\":" + nowMs() + "}";
    }

    private synchronized String feed(Map<String, String> query, Door door) {
        long after = Long.parseLong(query.get("after"));
        boolean waits = Long.parseLong(query.getOrDefault("wait_ms", "0")) > 0;
        if (waits) door.waitedAt = System.nanoTime();
        else door.askedAt = System.nanoTime();
        record.line("store   %s %s changes of %s after %d", door.name, waits ? "waits for" : "asks for", query.get("table"), after);
        long until = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        while (true) {
            if (door.mode == Mode.BUSY) return null;
            StringBuilder rows = new StringBuilder();
            for (Row row : history) {
                if (row.ver <= after || !row.table.equals(query.get("table"))) continue;
                if (rows.length() > 0) rows.append(',');
                rows.append(row.json());
            }
            long left = until - nowMs();
            if (rows.length() > 0 || left <= 0) {
                return "{\"rows\":[" + rows + "],\"ver\":" + ver + ",\"now_ms\":" + nowMs() + "}";
            }
            try {
                wait(Math.min(left, 100));
            } catch (InterruptedException e) {
                return null;
            }
        }
    }

    @SuppressWarnings("unchecked")
    private void transaction(HttpExchange exchange, String body) throws IOException {
        Map<String, Object> call = Json.object(body);
        String answer;
        int status = 200;
        synchronized (this) {
            StringBuilder conflicts = new StringBuilder();
            boolean holds = true;
            for (Object o : (List<Object>) call.getOrDefault("expected", List.of())) {
                Map<String, Object> e = (Map<String, Object>) o;
                Row row = row((String) e.get("table"), (String) e.get("key"));
                long expected = ((Double) e.get("ver")).longValue();
                if ((row == null ? 0 : row.ver) != expected) holds = false;
                if (row != null) conflicts.append(conflicts.length() > 0 ? "," : "").append(row.json());
            }
            if (holds) {
                ver++;
                for (Object o : (List<Object>) call.getOrDefault("writes", List.of())) {
                    Map<String, Object> w = (Map<String, Object>) o;
                    String table = (String) w.get("table");
                    byte[] value = Base64.getDecoder().decode((String) w.get("value"));
                    write(table, (String) w.get("key"), value);
                    if (table.equals("status")) {
                        record.line("store   %s/%s = %s", table, w.get("key"), new String(value, StandardCharsets.UTF_8));
                    }
                }
                for (Object o : (List<Object>) call.getOrDefault("remove", List.of())) {
                    Map<String, Object> r = (Map<String, Object>) o;
                    delete((String) r.get("table"), (String) r.get("key"));
                }
                notifyAll();
                answer = "{\"ver\":" + ver + ",\"now_ms\":" + nowMs() + "}";
            } else {
                status = 412;
                answer = "{\"rows\":[" + conflicts + "],\"ver\":" + ver + ",\"now_ms\":" + nowMs() + "}";
            }
        }
        reply(exchange, status, answer);
    }

    private static void reply(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> out = new HashMap<>();
        if (raw == null) return out;
        for (String part : raw.split("&")) {
            int eq = part.indexOf('=');
            if (eq < 0) continue;
            out.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return out;
    }
}
