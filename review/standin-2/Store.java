package review;

import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows with versions, conditional transactions and feeds, all in one part. */
final class Store {
    private record Row(String table, String key, String value, long ver, boolean dropped) {
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long ver = 100;
    /** Number of restores from a copy, which all answers name; below 0 for a store that names none. */
    private long era = -1;
    private TreeMap<String, Row> copy;
    private long copyVer;
    /** Whether the store turns every call away with 503. */
    volatile boolean isDown;
    private final long start = System.nanoTime();
    final Http.Server server;
    /** Milliseconds that a transaction takes. */
    private static final int TX_MILLIS = 5;

    Store() throws Exception {
        server = new Http.Server(this::handle);
    }

    private long now() {
        return 10_000 + (System.nanoTime() - start) / 1_000_000;
    }

    /** Writes a row as the operator or a worker does; the return is the confirmation. */
    synchronized void put(String table, String key, String text) {
        ver++;
        apply(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), false);
        notifyAll();
    }

    synchronized void drop(String table, String key) {
        ver++;
        apply(table, key, "", true);
        notifyAll();
    }

    synchronized String get(String table, String key) {
        Row row = rows.get(table + "\n" + key);
        return row == null ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    synchronized void nameEra(long first) {
        era = first;
    }

    /** Takes the copy from which {@link #restore} brings the store back. */
    synchronized void takeCopy() {
        copy = new TreeMap<>(rows);
        copyVer = ver;
    }

    synchronized void restore() {
        rows.clear();
        rows.putAll(copy);
        ver = copyVer;
        history.removeIf(row -> row.ver > copyVer);
        era++;
        notifyAll();
    }

    private void apply(String table, String key, String value, boolean dropped) {
        Row row = new Row(table, key, value, ver, dropped);
        if (dropped) rows.remove(table + "\n" + key);
        else rows.put(table + "\n" + key, row);
        history.add(row);
    }

    private Map<String, Object> view(Row row) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("table", row.table);
        map.put("part", "");
        map.put("key", row.key);
        if (row.dropped) map.put("tombstone", true);
        else map.put("value", row.value);
        map.put("ver", row.ver);
        return map;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String target = request.target();
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int eq = pair.indexOf('=');
                query.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        String path = mark < 0 ? target : target.substring(0, mark);
        if (isDown) {
            Http.send(out, 503, "", new byte[0]);
            return true;
        }
        String[] answer = switch (path) {
            case "/api/rows-tx" -> transact(new String(request.body, StandardCharsets.UTF_8));
            case "/api/rows-get" -> read(query);
            case "/api/rows-feed" -> feed(query);
            default -> new String[] {"404", "{}"};
        };
        Http.send(out, Integer.parseInt(answer[0]), "Content-Type: application/json\r\n" + (era < 0 ? "" : "Store-Era: " + era + "\r\n"),
            answer[1].getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private String[] transact(String body) throws InterruptedException {
        Thread.sleep(TX_MILLIS);
        Map<String, Object> call = Json.object(body);
        synchronized (this) {
            boolean holds = true;
            List<Object> current = new ArrayList<>();
            for (Map<String, Object> e : Json.objects(call.get("expected"))) {
                Row row = rows.get(e.get("table") + "\n" + e.get("key"));
                if ((row == null ? 0 : row.ver) != ((Number) e.get("ver")).longValue()) holds = false;
                if (row != null) current.add(view(row));
            }
            if (!holds) return answer("412", current);
            ver++;
            for (Map<String, Object> w : Json.objects(call.get("writes"))) {
                apply((String) w.get("table"), (String) w.get("key"), (String) w.get("value"), false);
            }
            for (Map<String, Object> r : Json.objects(call.get("remove"))) {
                if (rows.containsKey(r.get("table") + "\n" + r.get("key"))) {
                    apply((String) r.get("table"), (String) r.get("key"), "", true);
                }
            }
            notifyAll();
            return answer("200", List.of());
        }
    }

    private String[] answer(String status, List<Object> list) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("rows", list);
        map.put("has_more", false);
        map.put("ver", ver);
        map.put("now_ms", now());
        return new String[] {status, Json.write(map)};
    }

    private synchronized String[] read(Map<String, String> query) {
        String table = query.get("table") + "\n";
        String from = query.getOrDefault("from", "");
        List<Object> list = new ArrayList<>();
        for (Row row : rows.tailMap(table + from).values()) {
            if (!(row.table + "\n").equals(table)) break;
            list.add(view(row));
        }
        return answer("200", list);
    }

    private synchronized String[] feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            if (after > ver) return new String[] {"410", "{}"};
            LinkedHashMap<String, Row> changed = new LinkedHashMap<>();
            for (Row row : history) {
                if (row.ver <= after || !row.table.equals(query.get("table"))) continue;
                changed.remove(row.key);
                changed.put(row.key, row);
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                List<Object> list = new ArrayList<>();
                changed.values().forEach(row -> list.add(view(row)));
                return answer("200", list);
            }
            wait(left);
        }
    }
}
