package io.figspan.core.error;

import java.util.function.Function;

/**
 * Outcome of an operation that can fail in an expected way: a value or a {@link Problem}.
 *
 * @param <T> type of the value on success
 */
public sealed interface Result<T> {
    /** Success with a value. */
    record Ok<T>(T value) implements Result<T> {}

    /** Failure with a problem. */
    record Failed<T>(Problem problem) implements Result<T> {}

    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    static <T> Result<T> failed(Problem problem) {
        return new Failed<>(problem);
    }

    default boolean isOk() {
        return this instanceof Ok;
    }

    default <R> Result<R> map(Function<? super T, ? extends R> mapper) {
        if (this instanceof Ok<T> ok) {
            return ok(mapper.apply(ok.value()));
        }
        return failed(((Failed<T>) this).problem());
    }

    default <R> Result<R> flatMap(Function<? super T, Result<R>> mapper) {
        if (this instanceof Ok<T> ok) {
            return mapper.apply(ok.value());
        }
        return failed(((Failed<T>) this).problem());
    }

    /**
     * Returns the value of a success.
     *
     * @param location reported as the place of the error
     * @throws FigspanException with the kind and detail of the problem if this is a failure
     */
    default T orThrow(Location location) {
        if (this instanceof Ok<T> ok) {
            return ok.value();
        }
        Problem problem = ((Failed<T>) this).problem();
        throw new FigspanException(problem.kind(), problem.detail(), location);
    }
}
