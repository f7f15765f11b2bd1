package io.figspan.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** How the head of a response marks the end of its body (RFC 9112, section 6.3). */
public enum BodyFraming {
    CONTENT_LENGTH,
    CHUNKED,
    /** The body ends with its connection. */
    CLOSE_DELIMITED;

    public static BodyFraming of(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(head) ? CONTENT_LENGTH : CLOSE_DELIMITED;
    }

    /** Whether the end of the body is known without waiting for the connection to close. */
    public boolean isSelfDelimiting() {
        return this != CLOSE_DELIMITED;
    }
}
