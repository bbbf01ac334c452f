package review;

/** Starts daemon threads; a connection that breaks ends its thread. */
final class Threads {
    private Threads() {}

    /** Work that may fail with its connection. */
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (Exception e) {
                        // The peer ended the connection.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
