package io.figspan.bench.faults;

import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** P1 and P3: two hosts, two engines and two callers that use the same request ids and resume at any host. */
final class PromptScenario implements Scenario {
    private static final long FAULTS_UNTIL_MS = 10_000;
    private static final long DURATION_MS = 25_000;
    private static final long PROMPT_MS = 6_000;
    private static final int PROMPTS = 3;
    private static final int MAX_CONNECTIONS = 6;

    private final PromptScheme scheme;
    private final List<PromptHost> hosts = new ArrayList<>();
    private final List<PromptEngine> engines = new ArrayList<>();
    private final Map<String, String> newestTokens = new TreeMap<>();
    private FaultyProcess callers;

    PromptScenario(PromptScheme scheme) {
        this.scheme = scheme;
    }

    @Override
    public long durationMs() {
        return DURATION_MS;
    }

    @Override
    public void start(FaultRun faultRun) {
        callers = new FaultyProcess(faultRun, "callers", () -> {});
        for (int i = 0; i < 2; i++) {
            engines.add(new PromptEngine(faultRun, "e" + i));
            faultRun.scheduleFaults(engines.get(i).process(), FAULTS_UNTIL_MS, 0.3, 0.2);
        }
        for (int i = 0; i < 2; i++) {
            PromptHost host = new PromptHost(faultRun, scheme, "h" + i, engines);
            hosts.add(host);
            faultRun.scheduleFaults(host.process(), FAULTS_UNTIL_MS, 0.3, 0.3);
            engines.forEach(engine -> faultRun.scheduleCuts(host.process(), engine.process(), FAULTS_UNTIL_MS, 0.2));
        }
        for (int i = 0; i < PROMPTS; i++) {
            RequestId request = RequestId.of("request" + i);
            long atMs = faultRun.random().nextLong(8_000);
            for (String organisation : List.of("kite", "rook")) {
                PromptHost.Prompt prompt = new PromptHost.Prompt(
                        OrganisationId.of(organisation), request, organisation + i, 10 + i, PROMPT_MS);
                faultRun.after(atMs + faultRun.random().nextInt(300), () -> new Caller(faultRun, prompt).connect());
            }
        }
    }

    @Override
    public void check(FaultRun faultRun) {
        hosts.forEach(PromptHost::check);
    }

    /** One prompt of a caller; it resumes with its last token when its connection is lost. */
    private final class Caller {
        private final FaultRun faultRun;
        private final PromptHost.Prompt prompt;
        private final long endMs;
        private int received;
        private String lastToken = "";
        private int connections;
        private Link link;

        Caller(FaultRun faultRun, PromptHost.Prompt prompt) {
            this.faultRun = faultRun;
            this.prompt = prompt;
            this.endMs = faultRun.nowMs() + prompt.leftMs();
        }

        void connect() {
            long leftMs = endMs - faultRun.nowMs();
            connections++;
            if (leftMs <= 0 || connections > MAX_CONNECTIONS) {
                return;
            }
            PromptHost host = hosts.get(faultRun.random().nextInt(hosts.size()));
            link = new Link(host, host.process().number());
            Link current = link;
            PromptHost.Prompt now = new PromptHost.Prompt(
                    prompt.organisation(), prompt.request(), prompt.name(), prompt.parts(), leftMs);
            String token = received > 0 && faultRun.chance(0.2) ? foreignToken() : lastToken;
            faultRun.sendOnce(callers, host.process(), () -> {
                if (received == 0) {
                    host.complete(now, current);
                } else {
                    host.resume(now, token, current);
                }
            });
            faultRun.after(300, this::watch);
            if (faultRun.chance(0.3)) {
                faultRun.after(faultRun.random().nextLong(1_500), () -> drop(current));
            }
        }

        /** The newest token of another prompt, or the own one when there is none yet. */
        private String foreignToken() {
            List<String> others = newestTokens.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(prompt.name()))
                    .map(Map.Entry::getValue)
                    .toList();
            return others.isEmpty() ? lastToken : others.get(faultRun.random().nextInt(others.size()));
        }

        /** Notices a host that was restarted or that said nothing at all. */
        private void watch() {
            boolean lost = link != null && (link.host.process().number() != link.number || !link.alive());
            if (lost) {
                link.open = false;
                connect();
            } else if (link != null && link.open) {
                faultRun.after(300, this::watch);
            }
        }

        private void drop(Link current) {
            if (current == link && current.open) {
                current.open = false;
                current.host.process().after(1, () -> current.host.callerGone(current));
                connect();
            }
        }

        /** One connection of the caller to a host: ordered and without loss until one side closes it. */
        private final class Link implements PromptHost.Connection {
            private final PromptHost host;
            private final long number;
            private boolean open = true;

            Link(PromptHost host, long number) {
                this.host = host;
                this.number = number;
            }

            boolean alive() {
                return host.process().isAlive();
            }

            @Override
            public void part(String text, String token) {
                if (!open) {
                    return;
                }
                if (!text.equals(prompt.name() + ":" + received)) {
                    faultRun.violate(Count.MIXED, prompt.name() + " got " + text + " as part " + received);
                }
                received++;
                lastToken = token;
                newestTokens.put(prompt.name(), token);
            }

            @Override
            public void end(boolean complete) {
                if (!open) {
                    return;
                }
                open = false;
                if (complete && received != prompt.parts()) {
                    faultRun.violate(Count.INCOMPLETE, prompt.name() + " ended after " + received);
                }
                if (!complete && received > 0) {
                    faultRun.after(50, () -> {
                        if (link == this) {
                            connect();
                        }
                    });
                }
            }
        }
    }
}
