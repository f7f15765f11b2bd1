package io.figspan.host.entry;

/** Names of the HTTP headers on the caller port. */
public final class CallerHeaders {
    public static final String ORGANISATION = "Figspan-Organisation";
    public static final String SERVICE = "Figspan-Service";
    public static final String REQUEST_ID = "Figspan-Request-Id";
    public static final String DEADLINE_MS = "Figspan-Deadline-Ms";
    public static final String PRIORITY = "Figspan-Priority";
    public static final String TICKET = "Figspan-Ticket";
    public static final String LAST_EVENT_ID = "Last-Event-ID";

    private CallerHeaders() {}
}
