package io.figspan.wire.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** What the bytes of a server are, as far as they have been read. */
public sealed interface ResponseVerdict {
    /** The beginning of a response; more bytes, or the end of the connection, are due. */
    record Partial() implements ResponseVerdict {}

    /** A response that has marked its own end. */
    record Complete() implements ResponseVerdict {}

    /**
     * No response, whatever follows.
     *
     * @param rule what the part should be
     * @param excerpt the beginning of the line, with bytes that can't be printed as {@code \xNN}
     */
    record Invalid(MessagePart part, String rule, String excerpt) implements ResponseVerdict {
        private static final int MAX_EXCERPT_BYTES = 64;

        static Invalid of(MessagePart part, String rule, byte[] line) {
            return new Invalid(part, rule, excerptOf(line));
        }

        private static String excerptOf(byte[] line) {
            StringBuilder text = new StringBuilder();
            for (byte each : Arrays.copyOf(line, Math.min(line.length, MAX_EXCERPT_BYTES))) {
                text.append(escaped(each & 0xFF));
            }
            return line.length > MAX_EXCERPT_BYTES ? text + "..." : text.toString();
        }

        private static String escaped(int octet) {
            boolean isPrintable = octet >= ' ' && octet < 0x7F && octet != '"' && octet != '\\';
            return isPrintable
                    ? new String(new byte[] {(byte) octet}, StandardCharsets.US_ASCII)
                    : String.format("\\x%02x", octet);
        }

        /** For log lines: bounded, and without control characters. */
        @Override
        public String toString() {
            return "invalid " + part.label() + ": " + rule + ": \"" + excerpt + "\"";
        }
    }
}
