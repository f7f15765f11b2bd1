package io.figspan.review;

/** Starts daemon threads whose checked exceptions end them silently: a closed socket is an ordinary end. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (java.io.IOException | InterruptedException e) {
                        // The peer has closed the connection, or the run is over.
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
