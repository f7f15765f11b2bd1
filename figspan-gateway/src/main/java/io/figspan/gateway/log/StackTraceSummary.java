package io.figspan.gateway.log;

import java.util.Arrays;
import java.util.stream.Collectors;

/** Formats the innermost frames of a stack trace for one log line. */
public final class StackTraceSummary {
    private static final int MAX_FRAMES = 12;

    private StackTraceSummary() {}

    /** The innermost frames, in the order of a stack trace. */
    public static String of(Throwable error) {
        return Arrays.stream(error.getStackTrace())
                .limit(MAX_FRAMES)
                .map(StackTraceElement::toString)
                .collect(Collectors.joining(" < "));
    }
}
