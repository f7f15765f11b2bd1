package io.figspan.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;

/** Reads the Keep-Alive header ("timeout=SECONDS", RFC 2068 section 19.7.1.1). */
final class KeepAliveHeader {
    private static final String NAME = "keep-alive";
    private static final String TIMEOUT = "timeout=";

    private KeepAliveHeader() {}

    /** The time that the other side keeps an idle connection; {@link Long#MAX_VALUE} when it does not say. */
    static long timeoutNanos(HttpHeaders headers) {
        String value = headers.get(NAME);
        if (value == null) {
            return Long.MAX_VALUE;
        }
        int start = value.indexOf(TIMEOUT);
        if (start < 0) {
            return Long.MAX_VALUE;
        }
        long seconds = 0;
        boolean found = false;
        for (int i = start + TIMEOUT.length(); i < value.length() && Character.isDigit(value.charAt(i)); i++) {
            seconds = Math.min(Integer.MAX_VALUE, seconds * 10 + Character.digit(value.charAt(i), 10));
            found = true;
        }
        return found ? TimeUnit.SECONDS.toNanos(seconds) : Long.MAX_VALUE;
    }
}
