package io.figspan.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One runner spoils one answer: after the head and the first events of a stream it sends bytes that are no answer, until
 * the caller closes. Meanwhile other callers send orders and queries to the same host.
 */
final class EndlessBody {
    private static final String PROMPT_HEADERS = "Figspan-Model: m\r\n"
            + "Figspan-Token-Counts: 154000,800\r\n"
            + "Figspan-Prompt-Prefix: 5c1e07a2:40,91bd3f06:153960\r\n";

    /** Time of the requests before the faulty answer, and after it. */
    private static final long PHASE_MS = 10_000;

    private static final long REQUEST_INTERVAL_MS = 100;
    private static final long ROUTE_TIMEOUT_MS = 2_000;

    /** CONFIG names eight late requests and a quarter, or more than half of those that are open at the timeout. */
    private static final long LATE_COUNT = 8;

    private final Recorder recorder;
    private final AtomicBoolean isSpoiling = new AtomicBoolean();
    private final AtomicBoolean hasSpoiled = new AtomicBoolean();
    private final List<Client.Outcome> orders = new CopyOnWriteArrayList<>();
    private final Map<String, Long> ran = new ConcurrentHashMap<>();
    private final AtomicInteger questions = new AtomicInteger();
    private final AtomicInteger unansweredQuestions = new AtomicInteger();
    private volatile long spoiledMs;

    private EndlessBody(Recorder recorder) {
        this.recorder = recorder;
    }

    public static void main(String[] arguments) throws Exception {
        try (Recorder recorder = new Recorder(Path.of(arguments[0]))) {
            System.exit(Cases.status(recorder, new EndlessBody(recorder)::run));
        }
    }

    private boolean spoil(Runner runner, HttpMessage request, Socket socket) throws IOException {
        boolean isPrompt = request.target().startsWith("/archive/faulty");
        if (!isPrompt || !isSpoiling.get() || !hasSpoiled.compareAndSet(false, true)) {
            return false;
        }
        OutputStream out = socket.getOutputStream();
        String attempt = request.header("figspan-attempt-id");
        out.write((runner.answerHead(request)
                        + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: " + attempt
                        + " 1\n\n")
                .getBytes(StandardCharsets.UTF_8));
        spoiledMs = recorder.elapsedMs();
        recorder.say("%s ran %s and sends empty lines without end from now on", runner.id(), attempt);
        byte[] bytes = new byte[16_384];
        Arrays.fill(bytes, (byte) '\n');
        long sent = 0;
        try {
            while (true) {
                out.write(bytes);
                sent += bytes.length;
            }
        } catch (IOException e) {
            recorder.say("the caller of %s closed after %d bytes", runner.id(), sent);
        }
        return true;
    }

    /** Notes when an order reaches its runner. The runner answers it soundly. */
    private boolean noteArrival(Runner runner, HttpMessage request, Socket socket) {
        ran.putIfAbsent(request.header("figspan-attempt-id"), recorder.elapsedMs());
        return false;
    }

    private void ask(Host host) {
        questions.incrementAndGet();
        if (host.readiness() == 0) {
            unansweredQuestions.incrementAndGet();
        }
    }

    private int run() throws Exception {
        try (Deployment deployment = new Deployment(recorder, 3)) {
            for (int i = 1; i <= 18; i++) {
                deployment.addRunner("i-pool-" + i, "pool", true, 11, this::spoil);
            }
            for (int i = 1; i <= 3; i++) {
                deployment.addRunner("i-desk-" + i, "desk", false, 6, this::noteArrival);
            }
            deployment.start();
            Host host = deployment.hosts.get(0);
            Thread.sleep(3_000);
            List<Thread> clients = new ArrayList<>();
            long startMs = recorder.elapsedMs();
            long faultMs = startMs + PHASE_MS / 2;
            boolean hasPrompt = false;
            long nextQuestionMs = startMs;
            while (recorder.elapsedMs() < startMs + PHASE_MS * 2) {
                if (!host.isAlive()) {
                    break;
                }
                clients.add(Threads.start("order", () -> orders.add(order(host))));
                if (!hasPrompt && recorder.elapsedMs() >= faultMs) {
                    hasPrompt = true;
                    isSpoiling.set(Deployment.hasTrouble());
                    clients.add(Threads.start("prompt", () -> prompt(host)));
                }
                if (recorder.elapsedMs() >= nextQuestionMs) {
                    nextQuestionMs += 1_000;
                    clients.add(Threads.start("platform", () -> ask(host)));
                }
                Thread.sleep(REQUEST_INTERVAL_MS);
            }
            for (Thread client : clients) {
                client.join(20_000);
            }
            return judge(deployment, host);
        }
    }

    private Client.Outcome order(Host host) {
        long sentMs = recorder.elapsedMs();
        Client.Outcome outcome = Client.send(recorder, host, "POST", "/order/1", "", "{\"item\":1}", 4_000, 4_000);
        recorder.line(
                "order %s sent at %d answered %d complete=%s after %d ms %s",
                outcome.attemptId(), sentMs, outcome.status(), outcome.isComplete(), outcome.tookMs(), outcome.text());
        return outcome;
    }

    private void prompt(Host host) {
        Client.Outcome outcome = Client.send(
                recorder, host, "POST", "/archive/faulty", PROMPT_HEADERS, "x".repeat(38_500), 15_000, 12_000);
        recorder.say(
                "prompt %s answered %d complete=%s after %d ms %s",
                outcome.attemptId(),
                outcome.status(),
                outcome.isComplete(),
                outcome.tookMs(),
                outcome.text().replace('\n', ' '));
    }

    /** Holds the orders against the rule CONFIG, with its bounds. All hosts are in touch all the while. */
    private int judge(Deployment deployment, Host host) throws Exception {
        if (spoiledMs == 0 && Deployment.hasTrouble()) {
            recorder.say("no runner spoiled an answer");
            return 2;
        }
        long open = orders.stream()
                .filter(order -> order.tookMs() > ROUTE_TIMEOUT_MS)
                .count();
        long late = orders.stream()
                .filter(order -> order.tookMs() > ROUTE_TIMEOUT_MS + 500)
                .count();
        long unanswered = orders.stream().filter(order -> order.status() == 0).count();
        long afterLeaving = 0;
        for (Client.Outcome order : orders) {
            Long ranMs = ran.get(order.attemptId());
            if (order.status() == 0 && ranMs != null && ranMs > order.endMs() + 500) {
                afterLeaving++;
            }
        }
        recorder.say(
                "%d orders to %s; %d still unanswered at the route's timeout, %d of these 0.5 s later, %d never"
                        + " answered",
                orders.size(), host.name(), open, late, unanswered);
        recorder.say("%d orders reached a runner over 0.5 s after their clients had left", afterLeaving);
        recorder.say(
                "%d of %d questions for readiness to %s had no answer within a second",
                unansweredQuestions.get(), questions.get(), host.name());
        if (!host.isAlive()) {
            recorder.say("the process of %s has ended by itself with status %d", host.name(), host.exitStatus());
        }
        boolean isBroken = !host.isAlive() || (open >= LATE_COUNT && late >= LATE_COUNT && late * 2 > open);
        recorder.say(isBroken ? "CONFIG is broken" : "CONFIG holds");
        return isBroken ? 1 : 0;
    }
}
