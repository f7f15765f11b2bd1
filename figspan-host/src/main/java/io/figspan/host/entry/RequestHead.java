package io.figspan.host.entry;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.ServiceId;
import io.figspan.policy.fair.PriorityClass;
import io.vertx.core.MultiMap;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say.
 *
 * @param deadlineMs time left, when the caller names it
 * @param priority the priority class, when the caller names it
 */
public record RequestHead(
        OrganisationId organisation,
        ServiceId service,
        RequestId request,
        OptionalLong deadlineMs,
        Optional<PriorityClass> priority) {
    /** Service of a request that names none. */
    public static final String DEFAULT_SERVICE = "prompts";

    /** Longest deadline that a caller may ask for. */
    public static final long MAX_DEADLINE_MS = 3_600_000;

    /** Reads and checks the headers. {@code newRequestId} is used when the caller names no request id. */
    public static Result<RequestHead> parse(MultiMap headers, String newRequestId) {
        try {
            String organisation = headers.get(CallerHeaders.ORGANISATION);
            if (organisation == null) {
                return Result.failed(Problem.notRun(
                        ProblemKind.UNAUTHENTICATED, "header " + CallerHeaders.ORGANISATION + " is missing"));
            }
            return Result.ok(new RequestHead(
                    OrganisationId.of(organisation),
                    ServiceId.of(orElse(headers.get(CallerHeaders.SERVICE), DEFAULT_SERVICE)),
                    RequestId.of(orElse(headers.get(CallerHeaders.REQUEST_ID), newRequestId)),
                    parseDeadline(headers.get(CallerHeaders.DEADLINE_MS)),
                    parsePriority(headers.get(CallerHeaders.PRIORITY))));
        } catch (FigspanException e) {
            return Result.failed(Problem.notRun(e.kind(), e.detail()));
        } catch (IllegalArgumentException e) {
            return Result.failed(Problem.notRun(ProblemKind.INVALID_VALUE, "header: " + e.getMessage()));
        }
    }

    private static String orElse(String value, String other) {
        return value == null ? other : value;
    }

    private static OptionalLong parseDeadline(String value) {
        if (value == null) {
            return OptionalLong.empty();
        }
        long deadlineMs = Long.parseLong(value);
        if (deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
            throw new IllegalArgumentException(
                    CallerHeaders.DEADLINE_MS + " is outside 1 to " + MAX_DEADLINE_MS + " milliseconds");
        }
        return OptionalLong.of(deadlineMs);
    }

    private static Optional<PriorityClass> parsePriority(String value) {
        if (value == null) {
            return Optional.empty();
        }
        for (PriorityClass priority : PriorityClass.values()) {
            if (priority.name().toLowerCase(Locale.ROOT).equals(value)) {
                return Optional.of(priority);
            }
        }
        throw new IllegalArgumentException(
                CallerHeaders.PRIORITY + " '" + value + "' is not interactive, standard or batch");
    }
}
