package io.figspan.cli.caller;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.Json;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * One prompt of a caller: sends it, reads the answer, and goes on at the next host after a break, with the resume token
 * when it has one.
 */
final class PromptCall {
    /** A host that has begun an answer sends a sign of life each second; after this silence the next one is tried. */
    private static final long SILENCE_MS = 3_000;

    /** A host sends the head of an answer within a second of admission; a frozen one does not. */
    private static final long HEAD_TIMEOUT_MS = 5_000;

    /** Times that a refused caller comes back after the time it was told. */
    private static final int MAX_COMEBACKS = 5;

    /** Pause before the next host, so that a break of all hosts does not become a busy loop. */
    private static final long PAUSE_MS = 50;

    /** Time after the deadline within which the final answer must have arrived. */
    private static final long SLACK_MS = 3_000;

    /** What to ask for. */
    record Ask(
            String organisation,
            String service,
            String requestId,
            String model,
            String prompt,
            int promptTokens,
            int maxTokens,
            long deadlineMs,
            String priority) {}

    /** Body of a prompt. */
    record Body(
            @JsonProperty("model") String model,
            @JsonProperty("prompt") String prompt,
            @JsonProperty("max_tokens") int maxTokens,
            @JsonProperty("stream") boolean stream) {}

    /** One choice of a chunk. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Choice(@JsonProperty("text") String text, @JsonProperty("finish_reason") String finishReason) {}

    /** Data of one event. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Chunk(@JsonProperty("offset") int offset, @JsonProperty("choices") List<Choice> choices) {}

    private final CallerHttp http;
    private final EntryHosts hosts;
    private final Ask ask;
    private final Consumer<String> tokenListener;
    private final long startNanos = System.nanoTime();
    private final StringBuilder answer = new StringBuilder();
    private String resumeToken = "";
    private int nextOffset;
    private long firstTokenNanos;
    private int resumes;
    private int restarts;
    private int comebacks;
    private String fault = "";
    private boolean complete;

    PromptCall(CallerHttp http, EntryHosts hosts, Ask ask, Consumer<String> tokenListener) {
        this.http = http;
        this.hosts = hosts;
        this.ask = ask;
        this.tokenListener = tokenListener;
    }

    /** The answer so far. */
    String answer() {
        return answer.toString();
    }

    /** Runs the call to its end. {@code expected} is the right answer; empty when it is not known. */
    Single<PromptResult> run(String expected) {
        return attempt().map(result -> {
            boolean differs = result.kind() == PromptResult.Kind.ANSWERED
                    && !expected.isEmpty()
                    && !expected.contentEquals(answer);
            return differs ? end(PromptResult.Kind.WRONG, "the answer is not the one to this prompt") : result;
        });
    }

    private Single<PromptResult> attempt() {
        long leftMs = leftMs();
        if (leftMs + SLACK_MS <= 0) {
            return Single.just(end(PromptResult.Kind.LOST, "no final answer in time"));
        }
        return hosts.next().flatMap(host -> read(host, Math.max(1, leftMs))).onErrorResumeNext(this::onFailure);
    }

    private Single<PromptResult> read(io.figspan.settings.cfg.PeerAddress host, long leftMs) {
        CallHead head = CallHead.of(ask.organisation(), ask.service(), ask.requestId(), leftMs)
                .with("Figspan-Priority", ask.priority());
        boolean resuming = !resumeToken.isEmpty();
        if (resuming) {
            resumes++;
            head = head.with("Last-Event-ID", resumeToken);
        }
        Buffer body = resuming
                ? Buffer.buffer()
                : Json.encodeToBuffer(new Body(ask.model(), ask.prompt(), ask.maxTokens(), true));
        EventReader reader = new EventReader();
        return http.open(
                        host,
                        resuming ? HttpMethod.GET : HttpMethod.POST,
                        resuming ? "/v1/completions/stream" : "/v1/completions",
                        head,
                        body,
                        Math.min(HEAD_TIMEOUT_MS, leftMs + SLACK_MS))
                .timeout(silence(HEAD_TIMEOUT_MS + SILENCE_MS), chunk -> silence(SILENCE_MS))
                .concatMapIterable(reader::feed)
                .doOnNext(this::accept)
                .takeUntil(event -> complete)
                .ignoreElements()
                .andThen(Single.defer(this::afterStream));
    }

    private Single<PromptResult> afterStream() {
        if (complete) {
            return Single.just(end(PromptResult.Kind.ANSWERED, ""));
        }
        return Single.error(new IllegalStateException("the stream ended early"));
    }

    private Single<PromptResult> onFailure(Throwable cause) {
        if (!fault.isEmpty()) {
            return Single.just(end(PromptResult.Kind.WRONG, fault));
        }
        if (cause instanceof CallerHttp.Refused refused) {
            return onProblem(refused.problem());
        }
        boolean timedOutBeforeAnswer = cause instanceof TimeoutException && resumeToken.isEmpty();
        if (timedOutBeforeAnswer) {
            restarts++;
        }
        return pause().flatMap(ignored -> attempt());
    }

    private Single<PromptResult> onProblem(CallerHttp.ProblemBody problem) {
        switch (problem.kind()) {
            case "streamGone" -> {
                restart();
                return pause().flatMap(ignored -> attempt());
            }
            case "shuttingDown" -> {
                return pause().flatMap(ignored -> attempt());
            }
            case "tokenRefused" -> {
                return Single.just(end(PromptResult.Kind.WRONG, "a good resume token was refused"));
            }
            default -> {
                boolean comesBack = problem.retryAfterMs() > 0
                        && "notRun".equals(problem.run())
                        && problem.retryAfterMs() < leftMs()
                        && comebacks < MAX_COMEBACKS;
                if (!comesBack) {
                    return Single.just(end(PromptResult.Kind.REFUSED, problem.kind()));
                }
                comebacks++;
                return Single.timer(problem.retryAfterMs(), TimeUnit.MILLISECONDS, http.scheduler())
                        .flatMap(ignored -> attempt());
            }
        }
    }

    private void restart() {
        restarts++;
        resumeToken = "";
        nextOffset = 0;
        answer.setLength(0);
    }

    private Flowable<Long> silence(long limitMs) {
        return Flowable.timer(limitMs, TimeUnit.MILLISECONDS, http.scheduler());
    }

    private Single<Long> pause() {
        return Single.timer(PAUSE_MS, TimeUnit.MILLISECONDS, http.scheduler());
    }

    private void accept(EventReader.Event event) {
        if (!event.id().isEmpty()) {
            resumeToken = event.id();
        }
        if (event.type().equals("problem")) {
            throw new CallerHttp.Refused(CallerHttp.parse(event.data(), CallerHttp.ProblemBody.class));
        }
        boolean hasChunk = !event.data().isEmpty() && !event.data().equals("[DONE]");
        if (!hasChunk) {
            return;
        }
        Chunk chunk = CallerHttp.parse(event.data(), Chunk.class);
        Choice choice = chunk.choices().get(0);
        if (chunk.offset() != nextOffset) {
            fault = "offset " + chunk.offset() + " in place of " + nextOffset;
            throw new IllegalStateException(fault);
        }
        if (choice.finishReason() != null) {
            complete = true;
            return;
        }
        if (firstTokenNanos == 0) {
            firstTokenNanos = System.nanoTime() - startNanos;
        }
        nextOffset++;
        answer.append(choice.text());
        tokenListener.accept(choice.text());
    }

    private long leftMs() {
        return ask.deadlineMs() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private PromptResult end(PromptResult.Kind kind, String detail) {
        long totalNanos = System.nanoTime() - startNanos;
        return new PromptResult(ask.promptTokens(), kind, firstTokenNanos, totalNanos, resumes, restarts, detail);
    }
}
