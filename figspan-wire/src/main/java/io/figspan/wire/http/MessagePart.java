package io.figspan.wire.http;

/** Part of an HTTP response whose syntax can be invalid. */
public enum MessagePart {
    STATUS_LINE("status line"),
    FIELD_LINE("field line"),
    /** The fields that determine where the body ends. */
    FRAMING("framing"),
    CHUNK("chunk"),
    TRAILER("trailer");

    private final String label;

    MessagePart(String label) {
        this.label = label;
    }

    /** Name in ordinary English, for log lines. */
    public String label() {
        return label;
    }
}
