package io.figspan.wire.http;

import java.io.IOException;

/** A server has sent bytes that are no HTTP response. The request may have run; the connection is of no further use. */
public final class InvalidResponseException extends IOException {
    private static final long serialVersionUID = 1;

    private final transient ResponseVerdict.Invalid verdict;

    public InvalidResponseException(ResponseVerdict.Invalid verdict) {
        super(verdict.toString());
        this.verdict = verdict;
    }

    public ResponseVerdict.Invalid verdict() {
        return verdict;
    }
}
