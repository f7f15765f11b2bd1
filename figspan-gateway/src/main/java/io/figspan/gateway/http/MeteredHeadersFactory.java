package io.figspan.gateway.http;

import io.figspan.gateway.http.ClientMemory.Kind;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Creates the headers of what one connection receives. Each line counts when it is decoded. */
public final class MeteredHeadersFactory implements HttpHeadersFactory {
    /** Objects of one line on a 64-bit JVM with compressed references: an entry, the name, the value, their bytes. */
    private static final int LINE_BYTES = 144;

    private final ClientMemory.Account account;
    private final int maxLines;

    /**
     * Creates the factory of one connection.
     *
     * @param maxLines maximum number of lines of a head, or of the trailers of a body
     */
    public MeteredHeadersFactory(ClientMemory.Account account, int maxLines) {
        this.account = account;
        this.maxLines = maxLines;
    }

    /** The connection holds more than the budget of all connections admits. */
    public static final class NoRoomException extends RuntimeException {
        NoRoomException() {
            super("the heads of requests that are arriving fill the memory", null, false, false);
        }
    }

    @Override
    public HttpHeaders newHeaders() {
        return new MeteredHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    /** Headers that count their lines. The decoder calls no other method that adds. */
    private final class MeteredHeaders extends DefaultHttpHeaders {
        private int lines;

        MeteredHeaders() {
            super(
                    DefaultHttpHeadersFactory.headersFactory().getNameValidator(),
                    DefaultHttpHeadersFactory.headersFactory().getValueValidator());
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            if (++lines > maxLines) {
                throw new TooLongHttpHeaderException("the head has more than " + maxLines + " lines");
            }
            if (!account.tryAdd(Kind.ARRIVING_HEADS, LINE_BYTES + name.length() + ((CharSequence) value).length())) {
                throw new NoRoomException();
            }
            return super.add(name, value);
        }
    }
}
