package io.figspan.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decodes the responses of one connection, whose syntax has been checked. */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean isHeadRequest;

    /** A length that is repeated with the same value has one reading (RFC 9110, section 8.6). */
    ResponseDecoder() {
        super(new HttpDecoderConfig().setAllowDuplicateContentLengths(true));
    }

    /** A request is sent; the response to a HEAD request has no body whatever its headers say. */
    void expectResponseTo(HttpMethod method) {
        isHeadRequest = HttpMethod.HEAD.equals(method);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return (isHeadRequest && !isInformational(message)) || super.isContentAlwaysEmpty(message);
    }

    private static boolean isInformational(HttpMessage message) {
        return ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
}
