package io.figspan.wire.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The fields of one head that determine where its body ends; they may have one reading only (RFC 9112, section 6). */
final class FramingFields {
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    /** Longer ones don't fit into a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private final List<String> lengths = new ArrayList<>();
    private final List<String> codings = new ArrayList<>();

    void add(FieldLine field) {
        if (field.isNamed(CONTENT_LENGTH)) {
            lengths.addAll(elementsOf(field.value()));
        } else if (field.isNamed(TRANSFER_ENCODING)) {
            codings.addAll(elementsOf(field.value().toLowerCase(Locale.ROOT)));
        }
    }

    private static List<String> elementsOf(String list) {
        List<String> elements = new ArrayList<>();
        for (String element : list.split(",", -1)) {
            elements.add(element.strip());
        }
        return elements;
    }

    /** Why the end of the body is ambiguous; empty if it isn't. */
    Optional<String> violation(StatusLine statusLine) {
        if (!codings.isEmpty() && !lengths.isEmpty()) {
            return Optional.of("a body must not have both a length and a transfer coding");
        }
        if (!codings.isEmpty() && statusLine.minorVersion() == 0) {
            return Optional.of("HTTP/1.0 has no transfer codings");
        }
        if (!codings.isEmpty() && !codings.equals(List.of(CHUNKED))) {
            return Optional.of("the transfer coding must be chunked alone");
        }
        if (lengths.size() > 1 && statusLine.minorVersion() == 0) {
            return Optional.of("HTTP/1.0 has no repeated lengths");
        }
        if (lengths.stream().distinct().count() > 1) {
            return Optional.of("repeated lengths must be the same");
        }
        return lengths.stream().allMatch(FramingFields::isNumber)
                ? Optional.empty()
                : Optional.of("the length must be a decimal number");
    }

    private static boolean isNumber(String length) {
        return !length.isEmpty()
                && length.length() <= MAX_LENGTH_DIGITS
                && length.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }

    boolean isChunked() {
        return !codings.isEmpty();
    }

    /** Length of the body in bytes; empty if the fields name none. */
    Optional<Long> contentLength() {
        return lengths.stream().findFirst().map(Long::parseLong);
    }

    /** The values, for messages. */
    String excerpt() {
        return "content-length " + lengths + " transfer-encoding " + codings;
    }
}
