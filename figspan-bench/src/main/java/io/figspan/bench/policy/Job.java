package io.figspan.bench.policy;

import io.figspan.policy.dispatch.Prompt;

/** A request, or one segment of it on one engine, with the state that the driver keeps. */
final class Job {
    final Prompt prompt;
    final LengthClass lengthClass;
    final int organisation;
    final int host;
    final long arrivedNanos;
    final long outputTokens;
    /** Order on the engine; smaller goes first. */
    long orderNanos;
    /** Memory that this job takes on its engine; 0 when a hold has taken it before. */
    long kvTokens;

    long prefillLeft;
    long decodeLeft;
    /** Only memory is wanted; the job is done when it is granted. */
    boolean hold;

    long processedTokens;
    boolean resident;
    boolean abandoned;
    /** Time at which the prompt was sent, or its group acquired. */
    long sentNanos;

    boolean firstTokenSeen;
    /** Engine of a part. */
    Engine engine;

    Runnable onPrefilled;
    Runnable onFinished;

    Job(Prompt prompt, LengthClass lengthClass, int organisation, int host, long outputTokens) {
        this.prompt = prompt;
        this.lengthClass = lengthClass;
        this.organisation = organisation;
        this.host = host;
        this.arrivedNanos = prompt.arrivedNanos();
        this.outputTokens = outputTokens;
    }

    /** A part of the same request for another engine. */
    Job part(long orderNanosOfPart, long kvTokensOfPart, long prefillOfPart, long decodeOfPart) {
        Job part = new Job(prompt, lengthClass, organisation, host, outputTokens);
        part.orderNanos = orderNanosOfPart;
        part.kvTokens = kvTokensOfPart;
        part.prefillLeft = prefillOfPart;
        part.decodeLeft = decodeOfPart;
        return part;
    }
}
