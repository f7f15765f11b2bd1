package io.figspan.host.entry;

import io.figspan.control.resume.ResumeToken;
import io.figspan.control.resume.ResumeTokenCodec;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.StreamId;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineEvent;
import io.reactivex.rxjava3.core.FlowableSubscriber;
import org.reactivestreams.Subscription;

/**
 * Relays one engine stream to a caller, one event at a time: the next is asked for when the caller's connection takes
 * more. Passes on a token only if it is of the expected stream and at the expected offset, so that no part of another
 * answer can reach the caller.
 */
final class AnswerRelay implements FlowableSubscriber<EngineEvent> {
    /** Engines send a heartbeat every 500 ms; one that is silent for longer than this is given up. */
    static final long SILENCE_LIMIT_MS = 3_000;

    /** Told of the outcome; exactly one of the last two methods is called, unless the relay is stopped first. */
    interface Listener {
        /** The engine has taken the prompt. */
        void onOpened();

        /** The first token has arrived. */
        void onFirstToken();

        /** All tokens were passed on. */
        void onComplete(int endOffset);

        /** The engine's stream broke, or it was not taken. */
        void onBroken(Throwable cause);
    }

    private final HostContext context;
    private final ResumeTokenCodec tokens;
    private final CallerStream caller;
    private final OrganisationId organisation;
    private final RequestId request;
    private final BackendTable.Server server;
    private BackendIncarnation engine;
    private final StreamId stream;
    private final Listener listener;
    private Subscription subscription;
    private long silenceTimer = -1;
    private long readerNumber = 1;
    private int nextOffset;
    private boolean opened;
    private boolean firstTokenSeen;
    private boolean over;

    /** Whose answer is relayed from where. */
    record Route(
            OrganisationId organisation,
            RequestId request,
            BackendTable.Server server,
            StreamId stream,
            int firstOffset) {}

    AnswerRelay(HostContext context, ResumeTokenCodec tokens, CallerStream caller, Route route, Listener listener) {
        this.context = context;
        this.tokens = tokens;
        this.caller = caller;
        this.organisation = route.organisation();
        this.request = route.request();
        this.server = route.server();
        this.engine = server.incarnation();
        this.stream = route.stream();
        this.nextOffset = route.firstOffset();
        this.listener = listener;
    }

    BackendTable.Server server() {
        return server;
    }

    /** Whether the engine has taken the prompt. */
    boolean isOpened() {
        return opened;
    }

    /** The number of this connection among the stream's readers. */
    long readerNumber() {
        return readerNumber;
    }

    StreamId stream() {
        return stream;
    }

    /** Offset of the next token that the caller gets. */
    int nextOffset() {
        return nextOffset;
    }

    /** Closes the connection to the engine without telling the listener. */
    void stop() {
        over = true;
        context.vertx().cancelTimer(silenceTimer);
        if (subscription != null) {
            subscription.cancel();
        }
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
        subscription = newSubscription;
        watchSilence();
        subscription.request(1);
    }

    @Override
    public void onNext(EngineEvent event) {
        if (over) {
            return;
        }
        watchSilence();
        if (event instanceof EngineEvent.Opened open) {
            opened = true;
            readerNumber = open.readerNumber();
            engine = server.incarnation();
            caller.opened(token());
            listener.onOpened();
            subscription.request(1);
        } else if (event instanceof EngineEvent.Token received) {
            pass(received);
        } else if (event instanceof EngineEvent.Ended ended) {
            end(ended);
        } else {
            subscription.request(1);
        }
    }

    @Override
    public void onError(Throwable cause) {
        broken(cause);
    }

    @Override
    public void onComplete() {
        broken(new IllegalStateException("the engine closed the stream before its end"));
    }

    private void pass(EngineEvent.Token received) {
        boolean expected = received.stream().equals(stream.value()) && received.offset() == nextOffset;
        if (!expected) {
            broken(new IllegalStateException("the engine sent offset " + received.offset() + " of stream "
                    + received.stream() + " in place of offset " + nextOffset + " of stream " + stream));
            return;
        }
        nextOffset++;
        if (!firstTokenSeen) {
            firstTokenSeen = true;
            listener.onFirstToken();
        }
        caller.token(token(), received.offset(), received.text());
        context.vertx().cancelTimer(silenceTimer);
        caller.whenWritable(() -> {
            watchSilence();
            subscription.request(1);
        });
    }

    private void end(EngineEvent.Ended ended) {
        boolean complete = ended.complete() && ended.stream().equals(stream.value()) && ended.offset() == nextOffset;
        if (!complete) {
            broken(new IllegalStateException(
                    "the engine ended the stream at offset " + ended.offset() + ": " + ended.error()));
            return;
        }
        stop();
        listener.onComplete(nextOffset);
    }

    private void broken(Throwable cause) {
        if (over) {
            return;
        }
        stop();
        listener.onBroken(cause);
    }

    private void watchSilence() {
        context.vertx().cancelTimer(silenceTimer);
        silenceTimer = context.vertx()
                .setTimer(
                        SILENCE_LIMIT_MS,
                        id -> broken(
                                new IllegalStateException("the engine was silent for " + SILENCE_LIMIT_MS + " ms")));
    }

    private String token() {
        ResumeToken token = new ResumeToken(engine, stream, nextOffset, context.incarnation());
        return tokens.encode(token, organisation, request);
    }
}
