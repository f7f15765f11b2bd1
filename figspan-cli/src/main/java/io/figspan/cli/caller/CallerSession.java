package io.figspan.cli.caller;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.function.Function;

/** Runs a caller command on an event loop of its own. */
final class CallerSession {
    private CallerSession() {}

    static <T> T run(Function<CallerHttp, T> action) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        try {
            return action.apply(new CallerHttp(vertx));
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
