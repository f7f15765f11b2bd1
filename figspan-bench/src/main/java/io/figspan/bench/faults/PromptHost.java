package io.figspan.bench.faults;

import io.figspan.control.request.RequestAction;
import io.figspan.control.request.RequestState;
import io.figspan.control.request.RequestStateMachine;
import io.figspan.control.request.StreamEvent;
import io.figspan.control.resume.ResumeToken;
import io.figspan.control.resume.ResumeTokenCodec;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.error.Result;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.StreamId;
import io.figspan.core.time.Deadline;
import java.util.ArrayList;
import java.util.List;

/** A host that relays answers with the real request chart, or with one of the naive schemes. */
final class PromptHost {
    private static final ResumeTokenCodec CODEC = new ResumeTokenCodec(TokenKeys.ofText("key of the fault runs"));
    private static final long TICK_MS = 50;
    private static final long SILENCE_MS = 400;
    private static final long LATE_MARGIN_MS = 200;
    private static final long RESUME_GRACE_MS = 1_000;
    private static final long NAIVE_DEADLINE_MS = 3_600_000;

    /** What the caller of one connection gets. */
    interface Connection {
        void part(String text, String token);

        void end(boolean complete);
    }

    /** A prompt as a caller sends it. */
    record Prompt(OrganisationId organisation, RequestId request, String name, int parts, long leftMs) {}

    private final FaultRun faultRun;
    private final PromptScheme scheme;
    private final FaultyProcess process;
    private final List<PromptEngine> engines;
    private final List<Call> calls = new ArrayList<>();
    private long nextStream;
    private long awakeSinceMs;

    PromptHost(FaultRun faultRun, PromptScheme scheme, String name, List<PromptEngine> engines) {
        this.faultRun = faultRun;
        this.scheme = scheme;
        this.engines = engines;
        this.process = new FaultyProcess(faultRun, name, this::reset);
        reset();
    }

    FaultyProcess process() {
        return process;
    }

    private void reset() {
        calls.clear();
        awakeSinceMs = faultRun.nowMs();
        process.every(TICK_MS, () -> List.copyOf(calls).forEach(Call::tick));
    }

    void complete(Prompt prompt, Connection connection) {
        Call call = new Call(prompt, connection);
        calls.add(call);
        call.startOnAnyEngine();
    }

    /** Resumes a stream, or ends the connection when the token is refused. */
    void resume(Prompt prompt, String text, Connection connection) {
        Result<ResumeToken> token = CODEC.decode(text, prompt.organisation(), prompt.request());
        if (!(token instanceof Result.Ok<ResumeToken> ok)) {
            connection.end(false);
            return;
        }
        Call call = new Call(prompt, connection);
        calls.add(call);
        call.resume(ok.value());
    }

    void callerGone(Connection connection) {
        for (Call call : List.copyOf(calls)) {
            if (call.connection == connection) {
                call.perform(call.chart.onCallerGone(faultRun.nowNanos()));
            }
        }
    }

    /** Reports requests that this host has not ended although it was awake at their deadline. */
    void check() {
        if (!process.isAlive() || process.isPaused()) {
            awakeSinceMs = faultRun.nowMs();
            return;
        }
        for (Call call : calls) {
            long overdueMs = faultRun.nowMs() - call.deadlineMs;
            boolean open = !call.chart.state().isEnded() && call.chart.state() != RequestState.DETACHED;
            if (open && overdueMs > LATE_MARGIN_MS && faultRun.nowMs() - awakeSinceMs > LATE_MARGIN_MS) {
                faultRun.violate(Count.DEADLINE, call.prompt.name());
            }
        }
    }

    /** One request at this host. */
    private final class Call {
        private final Prompt prompt;
        private final Connection connection;
        private final RequestStateMachine chart;
        private final long deadlineMs;
        private PromptEngine engine;
        private BackendIncarnation engineProcess;
        private StreamId stream;
        private long heardMs;

        Call(Prompt prompt, Connection connection) {
            this.prompt = prompt;
            this.connection = connection;
            this.deadlineMs = faultRun.nowMs() + prompt.leftMs();
            long leftMs = scheme == PromptScheme.NO_DEADLINE ? NAIVE_DEADLINE_MS : prompt.leftMs();
            this.chart = new RequestStateMachine(Deadline.after(faultRun.nowNanos(), leftMs), RESUME_GRACE_MS);
        }

        void startOnAnyEngine() {
            engine = engines.get(faultRun.random().nextInt(engines.size()));
            engineProcess = engine.incarnation();
            nextStream++;
            stream = StreamId.of(process.incarnation().number() + "-" + process.name() + "-" + nextStream);
            heardMs = faultRun.nowMs();
            perform(chart.onStart(engineProcess, stream, faultRun.nowNanos()));
            if (chart.state() != RequestState.RUNNING) {
                return;
            }
            PromptEngine target = engine;
            StreamId id = stream;
            int first = (int) chart.sentParts();
            faultRun.send(
                    process,
                    target.process(),
                    () -> target.start(id, prompt.request(), prompt.name(), first, prompt.parts(), reader()));
        }

        void resume(ResumeToken token) {
            engine = engines.stream()
                    .filter(candidate -> candidate
                            .incarnation()
                            .server()
                            .equals(token.engine().server()))
                    .findFirst()
                    .orElseThrow();
            engineProcess = token.engine();
            stream = scheme == PromptScheme.BY_REQUEST_ID
                    ? engine.newestStream(prompt.request()).orElse(token.stream())
                    : token.stream();
            perform(chart.onResume(engineProcess, stream, token.offset(), faultRun.nowNanos()));
            read(token.offset());
        }

        private PromptEngine.Reader reader() {
            return new PromptEngine.Reader(process, this::onPart);
        }

        private void read(long offset) {
            heardMs = faultRun.nowMs();
            PromptEngine target = engine;
            BackendIncarnation expected = engineProcess;
            StreamId id = stream;
            faultRun.send(process, target.process(), () -> {
                boolean here = target.incarnation().equals(expected) && target.read(id, offset, reader());
                if (!here) {
                    faultRun.send(target.process(), process, () -> onStreamGone(expected));
                }
            });
        }

        private void onStreamGone(BackendIncarnation lost) {
            boolean wasRunning = chart.state() == RequestState.RUNNING;
            perform(chart.onEngineLost(lost, true, faultRun.nowNanos()));
            if (wasRunning && chart.state() == RequestState.RECOVERING) {
                startOnAnyEngine();
            }
        }

        private void onPart(StreamEvent part) {
            if (scheme == PromptScheme.APPENDS_PARTS && !chart.state().isEnded()) {
                connection.part(part.text(), token());
                if (part.last()) {
                    perform(chart.onPart(part, faultRun.nowNanos()));
                    connection.end(true);
                }
                return;
            }
            heardMs = faultRun.nowMs();
            perform(chart.onPart(part, faultRun.nowNanos()));
        }

        void tick() {
            perform(chart.onTick(faultRun.nowNanos()));
            boolean silent = faultRun.nowMs() - heardMs > SILENCE_MS;
            if (chart.state() == RequestState.RUNNING && silent) {
                read(chart.streamOffset());
            }
        }

        private String token() {
            ResumeToken token = new ResumeToken(engineProcess, stream, chart.streamOffset(), process.incarnation());
            return CODEC.encode(token, prompt.organisation(), prompt.request());
        }

        void perform(List<RequestAction> actions) {
            for (RequestAction action : actions) {
                if (action instanceof RequestAction.SendPart part) {
                    connection.part(part.text(), token());
                } else if (action instanceof RequestAction.Complete) {
                    connection.end(true);
                } else if (action instanceof RequestAction.SendProblem) {
                    connection.end(false);
                } else if (action instanceof RequestAction.ResumeStream resume) {
                    read(resume.offset());
                }
            }
        }
    }
}
