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

/** A stand-in for the platform's store: sound, always up, without leases. */
final class Store implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 10;

    private record Item(String key, String value, long revision) {
        String toJson() {
            String rest = value == null
                    ? "\"is_gone\":true"
                    : "\"value\":\"" + base64(value) + "\",\"created\":" + revision + ",\"lease\":0";
            return "{\"key\":\"" + key + "\",\"revision\":" + revision + "," + rest + "}";
        }

        private static String base64(String text) {
            return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(executor);
        server.createContext("/kv-range", exchange -> answer(exchange, false));
        server.createContext("/kv-watch", exchange -> answer(exchange, true));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an item; no value removes it. */
    synchronized void put(String key, String value) {
        Item item = new Item(key, value, ++revision);
        history.add(item);
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, item);
        }
        notifyAll();
    }

    private void answer(HttpExchange exchange, boolean isWatch) throws IOException {
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String body;
        try {
            body = isWatch ? watch(query) : range(query);
        } catch (InterruptedException e) {
            exchange.close();
            return;
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized String range(Map<String, String> query) {
        List<String> found = items.values().stream()
                .filter(item -> item.key().startsWith(query.get("path_prefix")))
                .filter(item -> item.key().compareTo(query.getOrDefault("after", "")) > 0)
                .map(Item::toJson)
                .toList();
        return "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"at\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<String> events = history.stream()
                    .filter(item -> item.revision() > after)
                    .filter(item -> item.key().startsWith(query.get("path_prefix")))
                    .map(Item::toJson)
                    .toList();
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            }
            wait(leftMs);
        }
    }

    private static Map<String, String> query(String rawQuery) {
        Map<String, String> query = new HashMap<>();
        for (String pair : rawQuery.split("&", -1)) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
