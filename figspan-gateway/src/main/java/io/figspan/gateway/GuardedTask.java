package io.figspan.gateway;

import io.figspan.gateway.log.UnexpectedErrors;

/**
 * A periodic task that continues after an unexpected exception, which is counted and logged. A scheduler drops a task
 * that throws. Errors of the virtual machine are not caught.
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
