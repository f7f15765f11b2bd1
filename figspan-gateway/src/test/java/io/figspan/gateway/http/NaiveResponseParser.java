package io.figspan.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a whole response from a text with one character for each byte, by the grammar of RFC 9112 written down as
 * regular expressions. A line ends with CR and LF, lines are not folded, and the body has one reading only.
 */
final class NaiveResponseParser {
    private static final String TOKEN = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+";
    private static final String TEXT = "[\\t\\x20-\\x7E\\x80-\\xFF]*";
    private static final String FIELDS = "((?:" + TOKEN + ":" + TEXT + "\\r\\n)*)\\r\\n";
    private static final String QUOTED =
            "\"(?:[\\t\\x20\\x21\\x23-\\x5B\\x5D-\\x7E\\x80-\\xFF]|\\\\[\\t\\x20-\\x7E\\x80-\\xFF])*\"";
    private static final String EXTENSIONS =
            "(?:[ \\t]*;[ \\t]*" + TOKEN + "(?:[ \\t]*=[ \\t]*(?:" + TOKEN + "|" + QUOTED + "))?)*";
    private static final Pattern HEAD =
            Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9]{2})(?: " + TEXT + ")?\\r\\n" + FIELDS);
    private static final Pattern CHUNK = Pattern.compile("0*([1-9A-Fa-f][0-9A-Fa-f]{0,6})" + EXTENSIONS + "\\r\\n");
    private static final Pattern LAST_CHUNK = Pattern.compile("0+" + EXTENSIONS + "\\r\\n" + FIELDS);

    /** A response that is whole; the bytes from {@code end} on are no part of it. */
    record Whole(int status, List<String> fields, String body, int end) {}

    private final String bytes;
    private int position;

    private NaiveResponseParser(String bytes) {
        this.bytes = bytes;
    }

    /** The response at the beginning of the bytes, after which the connection is closed; empty if there is none. */
    static Optional<Whole> parse(String bytes) {
        return new NaiveResponseParser(bytes).parse();
    }

    private Optional<Whole> parse() {
        Matcher head = next(HEAD);
        while (head != null && head.group(2).startsWith("1") && !head.group(2).equals("101")) {
            if (!hasOneReading(head)) {
                return Optional.empty();
            }
            head = next(HEAD);
        }
        if (head == null || head.group(2).equals("101") || !hasOneReading(head)) {
            return Optional.empty();
        }
        int status = Integer.parseInt(head.group(2));
        List<String> fields = linesOf(head.group(3));
        String body = status == 204 || status == 304 ? "" : body(fields);
        return body == null ? Optional.empty() : Optional.of(new Whole(status, fields, body, position));
    }

    private Matcher next(Pattern pattern) {
        Matcher matcher = pattern.matcher(bytes).region(position, bytes.length());
        if (!matcher.lookingAt()) {
            return null;
        }
        position = matcher.end();
        return matcher;
    }

    private static List<String> linesOf(String text) {
        return text.isEmpty()
                ? List.of()
                : List.of(text.split("\r\n", -1)).subList(0, text.split("\r\n", -1).length - 1);
    }

    private static List<String> elements(List<String> fields, String name) {
        List<String> elements = new ArrayList<>();
        for (String field : fields) {
            if (field.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                for (String element : field.substring(name.length() + 1).split(",", -1)) {
                    elements.add(element.replaceAll("^[ \\t]+|[ \\t]+\\z", ""));
                }
            }
        }
        return elements;
    }

    private static boolean hasOneReading(Matcher head) {
        List<String> fields = linesOf(head.group(3));
        List<String> lengths = elements(fields, "content-length");
        List<String> codings = elements(fields, "transfer-encoding");
        if (codings.isEmpty() && lengths.size() > 1 && head.group(1).equals("0")) {
            return false;
        }
        if (codings.isEmpty()) {
            return lengths.stream().allMatch(length -> length.matches("[0-9]{1,18}") && length.equals(lengths.get(0)));
        }
        return lengths.isEmpty()
                && codings.size() == 1
                && codings.get(0).equalsIgnoreCase("chunked")
                && !head.group(1).equals("0");
    }

    private String body(List<String> fields) {
        if (!elements(fields, "transfer-encoding").isEmpty()) {
            return chunkedBody();
        }
        List<String> lengths = elements(fields, "content-length");
        long length = lengths.isEmpty() ? bytes.length() - position : Long.parseLong(lengths.get(0));
        return take(length);
    }

    private String take(long length) {
        if (length > bytes.length() - position) {
            return null;
        }
        String taken = bytes.substring(position, position + (int) length);
        position += (int) length;
        return taken;
    }

    private String chunkedBody() {
        StringBuilder body = new StringBuilder();
        Matcher chunk = next(CHUNK);
        while (chunk != null) {
            String data = take(Long.parseLong(chunk.group(1), 16));
            if (data == null || !"\r\n".equals(take(Math.min(2, bytes.length() - position)))) {
                return null;
            }
            body.append(data);
            chunk = next(CHUNK);
        }
        return next(LAST_CHUNK) == null ? null : body.toString();
    }
}
