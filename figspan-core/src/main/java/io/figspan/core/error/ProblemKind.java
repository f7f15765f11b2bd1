package io.figspan.core.error;

/** Kinds of errors, each with its HTTP status, title and remedy. */
public enum ProblemKind {
    INVALID_VALUE(400, "Invalid value", "Correct the value and send it again."),
    MALFORMED_BODY(400, "Malformed body", "Send a JSON object of the documented shape."),
    BODY_TOO_LARGE(413, "Body too large", "Send a shorter body."),
    UNAUTHENTICATED(401, "Not authenticated", "Send the credential of the organisation."),
    NOT_FOUND(404, "Not found", "Check the path and the names in it."),
    TOKEN_REFUSED(403, "Token refused", "Use the unchanged token of this request and organisation."),
    STREAM_GONE(410, "Stream is gone", "Send the request again as a new one."),
    TICKET_CONFLICT(409, "Ticket was used for another body", "Get a new ticket for a new order."),
    TICKET_EXPIRED(410, "Ticket has expired", "Get a new ticket, after checking the outcome if it is unknown."),
    TICKET_VOID(409, "Ticket is void", "Get a new ticket and send the order again."),
    OWNER_UNREACHABLE(
            502,
            "Ticket owner cannot be reached",
            "Ask for the outcome later with the same ticket; do not send the order with another ticket before."),
    OUTCOME_UNKNOWN(
            502, "Outcome is unknown", "Check with the service before sending the order again with a new ticket."),
    DEADLINE_UNREACHABLE(503, "Deadline cannot be met", "Wait for the time in Retry-After or allow a longer deadline."),
    DEADLINE_PASSED(504, "Deadline passed", "Send the request again with a longer deadline."),
    LIMIT_REACHED(429, "Limit of the organisation reached", "Wait for the time in Retry-After."),
    OVERLOADED(503, "Overloaded", "Wait for the time in Retry-After."),
    NO_BACKEND_SERVER(503, "No backend server is available", "Wait for the time in Retry-After."),
    PROMPT_QUARANTINED(
            503, "Prompt is quarantined", "Send the prompt without the named part; the same prompt is refused again."),
    REQUEST_QUARANTINED(503, "Request is quarantined", "Change the request; the same one is refused again."),
    BACKEND_FAILED(502, "Backend server failed", "Send the request again."),
    SETTINGS_NOT_READ(503, "Newer settings are not read yet", "Wait for the time in Retry-After or use another host."),
    SHUTTING_DOWN(503, "Host is shutting down", "Use another host of the entry list."),
    HOST_STOPPED(
            502,
            "Host stopped before the answer",
            "Use another host of the entry list; the request may have run, so repeat it only if that is safe."),
    SETTINGS_INVALID(422, "Settings are invalid", "Correct the named key and publish a higher version."),
    SETTINGS_OUTDATED(409, "Settings version is older than the one in force", "Publish a higher version."),
    HOST_FILE_INVALID(500, "Host file is invalid", "Correct the named key and start the process again."),
    CHART_INVALID(500, "State chart is invalid", "Correct the chart file."),
    UNEXPECTED_EVENT(500, "Event is not expected in this state", "Report the event and the state as a fault."),
    FRAME_REFUSED(400, "Frame refused", "Check that both processes share the peer key and the version."),
    USAGE(400, "Wrong use of the command line", "Run the command with --help."),
    INTERNAL(500, "Internal error", "Report the request id and the time line.");

    private final int httpStatus;
    private final String title;
    private final String remedy;

    ProblemKind(int httpStatus, String title, String remedy) {
        this.httpStatus = httpStatus;
        this.title = title;
        this.remedy = remedy;
    }

    public int httpStatus() {
        return httpStatus;
    }

    public String title() {
        return title;
    }

    /** Returns what the reader of the error can do about it, as a complete sentence. */
    public String remedy() {
        return remedy;
    }

    /** Returns the name in camel case as used in problem documents, such as {@code ticketExpired}. */
    public String wireName() {
        StringBuilder name = new StringBuilder();
        boolean capitalizeNext = false;
        for (char c : name().toCharArray()) {
            if (c == '_') {
                capitalizeNext = true;
                continue;
            }
            name.append(capitalizeNext ? c : Character.toLowerCase(c));
            capitalizeNext = false;
        }
        return name.toString();
    }
}
