package io.figspan.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;

/** Parses the Keep-Alive header ("timeout=SECONDS", RFC 2068 section 19.7.1.1). */
final class KeepAliveHeader {
    private static final String HEADER = "keep-alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private KeepAliveHeader() {}

    /** Idle timeout of the server in nanoseconds; {@link Long#MAX_VALUE} if the header names none. */
    static long timeoutNanos(HttpHeaders headers) {
        String value = headers.get(HEADER);
        if (value == null) {
            return Long.MAX_VALUE;
        }
        int start = value.indexOf(TIMEOUT_PARAMETER);
        if (start < 0) {
            return Long.MAX_VALUE;
        }
        long seconds = 0;
        boolean hasDigits = false;
        for (int i = start + TIMEOUT_PARAMETER.length();
                i < value.length() && Character.isDigit(value.charAt(i));
                i++) {
            seconds = Math.min(Integer.MAX_VALUE, seconds * 10 + Character.digit(value.charAt(i), 10));
            hasDigits = true;
        }
        return hasDigits ? TimeUnit.SECONDS.toNanos(seconds) : Long.MAX_VALUE;
    }
}
