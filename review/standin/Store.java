package io.figspan.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: ranges and watches, as PROTOCOL.md describes them. */
final class Store implements AutoCloseable {
    private final ServerSocket listener;
    private final Map<String, Change> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 10;
    private long forgotten;

    private static final long HISTORY_MS = 20_000;

    /** Whether calls are refused with 503. */
    volatile boolean isRefusing;

    private record Change(String key, String value, long revision, long atMs) {
        String json() {
            return value == null
                    ? "{\"key\":\"%s\",\"revision\":%d,\"is_gone\":true}".formatted(key, revision)
                    : "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}"
                            .formatted(key, base64(value), revision, revision);
        }
    }

    Store() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static String base64(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String key, String value) {
        Change change = new Change(key, value, ++revision, nowMs());
        items.put(key, change);
        history.add(change);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Change(key, null, ++revision, nowMs()));
            notifyAll();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Threads.start("store-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            var in = new java.io.BufferedInputStream(socket.getInputStream());
            HttpMessage request;
            while ((request = HttpMessage.readRequest(in)) != null) {
                String body = isRefusing ? "" : answer(request.target());
                String status = isRefusing ? "503 Unavailable" : body.isEmpty() ? "410 Gone" : "200 OK";
                byte[] bytes = status.startsWith("200") ? body.getBytes(StandardCharsets.UTF_8) : new byte[0];
                OutputStream out = socket.getOutputStream();
                out.write(
                        ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                                        + bytes.length + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        String prefix = query.get("path_prefix");
        if (target.startsWith("/kv-range")) {
            return range(prefix, query.getOrDefault("after", ""));
        }
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            if (after < forgottenRevision()) {
                return "";
            }
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(change.json());
                }
            }
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return "{\"events\":[%s],\"at\":%d}".formatted(String.join(",", events), revision);
            }
            wait(leftMs);
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** The newest revision that the history no longer has. */
    private long forgottenRevision() {
        while (!history.isEmpty() && nowMs() - history.get(0).atMs() > HISTORY_MS) {
            forgotten = history.remove(0).revision();
        }
        return forgotten;
    }

    private String range(String prefix, String afterKey) {
        List<String> found = new ArrayList<>();
        for (Change item : items.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(afterKey) > 0) {
                found.add(item.json());
            }
        }
        return "{\"items\":[%s],\"has_more\":false,\"at\":%d}".formatted(String.join(",", found), revision);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
