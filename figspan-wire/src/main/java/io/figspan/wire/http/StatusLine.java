package io.figspan.wire.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * The first line of a response (RFC 9112, section 4): version, status and an optional reason phrase. The blank before a
 * missing reason phrase may be missing too, as many servers omit it.
 */
record StatusLine(int minorVersion, int status) {
    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int STATUS_START = VERSION.length + 2;
    private static final int STATUS_END = STATUS_START + 3;
    private static final int MIN_STATUS = 100;

    /** RFC 9110, section 15: statuses above are invalid and at best server errors, which have no meaning to forward. */
    private static final int MAX_STATUS = 599;

    private static final int MIN_FINAL_STATUS = 200;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Why a line without its line break is no status line; empty if it is one. */
    static Optional<String> violation(byte[] line) {
        if (!hasVersion(line)) {
            return Optional.of("the version must be HTTP/1.x");
        }
        if (!hasStatus(line)) {
            return Optional.of("the status must have three digits");
        }
        if (line.length > STATUS_END && (line[STATUS_END] != ' ' || !Octets.isText(line, STATUS_END))) {
            return Optional.of("the reason phrase must be text after a blank");
        }
        int status = statusOf(line);
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return Optional.of("the status must be from 100 to 599");
        }
        return status == SWITCHING_PROTOCOLS ? Optional.of("no other protocol was asked for") : Optional.empty();
    }

    /** Parses a line without {@linkplain #violation violations}. */
    static StatusLine of(byte[] line) {
        return new StatusLine(line[VERSION.length] - '0', statusOf(line));
    }

    private static boolean hasVersion(byte[] line) {
        return line.length > VERSION.length + 1
                && Arrays.equals(line, 0, VERSION.length, VERSION, 0, VERSION.length)
                && Octets.isDigit(line[VERSION.length])
                && line[VERSION.length + 1] == ' ';
    }

    private static boolean hasStatus(byte[] line) {
        return line.length >= STATUS_END
                && Octets.isDigit(line[STATUS_START])
                && Octets.isDigit(line[STATUS_START + 1])
                && Octets.isDigit(line[STATUS_START + 2]);
    }

    private static int statusOf(byte[] line) {
        return Integer.parseInt(new String(line, STATUS_START, STATUS_END - STATUS_START, StandardCharsets.US_ASCII));
    }

    /** Whether the final response is yet to come. */
    boolean isInformational() {
        return status < MIN_FINAL_STATUS;
    }

    /** Whether the response has no body, whatever its fields say. */
    boolean excludesBody() {
        return isInformational() || status == NO_CONTENT || status == NOT_MODIFIED;
    }
}
