package io.figspan.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a runner: it answers requests whole or as a stream, reservations of memory, reports and health checks,
 * as PROTOCOL.md describes them. What a faulty runner does instead is left to a {@link Fault}.
 */
final class Runner {
    /** Events of a stream. */
    private static final int EVENTS = 12;

    private static final long EVENT_INTERVAL_MS = 40;

    private final String id;
    private final String service;
    private final boolean isEngine;
    private final int slots;
    private final Recorder recorder;
    private final Fault fault;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket listener;
    private volatile long bornMs = System.currentTimeMillis();
    private final Map<String, Long> reservations = new ConcurrentHashMap<>();

    /** Answers given so far, of all kinds. */
    final AtomicLong answers = new AtomicLong();

    /** Decides whether an answer is spoiled, and writes it then. */
    interface Fault {
        Fault NONE = (runner, request, socket) -> false;

        /** Returns whether the fault has answered; the connection is closed then. */
        boolean answered(Runner runner, HttpMessage request, Socket socket) throws IOException, InterruptedException;
    }

    Runner(String id, String service, boolean isEngine, int slots, Recorder recorder, Fault fault) throws IOException {
        this.id = id;
        this.service = service;
        this.isEngine = isEngine;
        this.slots = slots;
        this.recorder = recorder;
        this.fault = fault;
        this.listener = listen(0);
        this.port = listener.getLocalPort();
        Threads.start(id, () -> accept(listener));
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        return socket;
    }

    /** Ends like a process that crashes: its connections are reset and its port is closed. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        reservations.clear();
    }

    /** Starts again at the address and under the id that it had; it knows nothing of before. */
    void restart() throws IOException {
        bornMs = System.currentTimeMillis();
        ServerSocket opened = listen(port);
        listener = opened;
        Threads.start(id, () -> accept(opened));
    }

    String id() {
        return id;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** The value of this runner's entry in the store. */
    String entry(String zone, long sequence) {
        return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":%d}")
                .formatted(service, address(), zone, slots, sequence, bornMs);
    }

    private void accept(ServerSocket from) throws IOException {
        while (true) {
            Socket socket = from.accept();
            socket.setTcpNoDelay(true);
            connections.add(socket);
            Threads.start(id + "-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            HttpMessage request;
            while ((request = HttpMessage.readRequest(in)) != null) {
                answers.incrementAndGet();
                if (fault.answered(this, request, socket)) {
                    return;
                }
                answer(request, socket.getOutputStream());
            }
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        String expected = request.header("figspan-expected-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nFigspan-Instance-Id: " + id + "\r\n", "");
        } else if (request.target().equals("/health")) {
            write(out, "HTTP/1.1 200 OK\r\nFigspan-Instance-Id: " + id + "\r\n", "");
        } else if (request.target().equals("/report")) {
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
                    "{\"stage\":\"combined\",\"busy\":false}");
        } else if (request.target().equals("/order")) {
            order(request.text(), out);
        } else if (isEngine) {
            stream(request, out);
        } else {
            plain(request, out);
        }
    }

    private void order(String order, OutputStream out) throws IOException {
        String hold = order.replaceAll(".*\"id\":\"([^\"]*)\".*", "$1");
        if (order.contains("\"release\"")) {
            reservations.remove(hold);
        } else {
            reservations.put(hold, Long.parseLong(order.replaceAll(".*\"token_count\":([0-9]+).*", "$1")));
        }
        recorder.line("%s order %s", id, order);
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", "{\"free\":1}");
    }

    /** The head lines that every answer to a request has. */
    String answerHead(HttpMessage request) {
        return "HTTP/1.1 200 OK\r\nFigspan-Attempt-Id: " + request.header("figspan-attempt-id")
                + "\r\nFigspan-Response-Stamp: " + id + "." + request.header("figspan-attempt-id")
                + "\r\nFigspan-Server-Load: 1,0," + slots + "\r\n";
    }

    private void plain(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        recorder.line("%s ran %s %s", id, request.header("figspan-attempt-id"), request.startLine());
        Thread.sleep(60);
        write(out, answerHead(request), id + " ran " + request.header("figspan-attempt-id"));
    }

    private void stream(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        String attempt = request.header("figspan-attempt-id");
        String last = request.header("last-event-id");
        recorder.line("%s ran %s from event %s", id, attempt, last.isEmpty() ? "0" : last);
        Thread.sleep(30);
        out.write((answerHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: " + attempt + " " + event + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Thread.sleep(EVENT_INTERVAL_MS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void write(OutputStream out, String head, String body) throws IOException {
        out.write((head + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
