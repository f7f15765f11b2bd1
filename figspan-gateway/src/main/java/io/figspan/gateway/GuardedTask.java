package io.figspan.gateway;

import io.figspan.gateway.log.UnexpectedErrors;

/**
 * A repeated task that goes on after an unexpected error of one run: a scheduler drops a task that throws. Errors of
 * the virtual machine are not caught.
 */
record GuardedTask(Runnable task, UnexpectedErrors errors) implements Runnable {
    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            errors.report(e);
        }
    }
}
