package io.figspan.gateway;

import java.lang.reflect.Proxy;

/**
 * Handler of SIGHUP, which tells a process to reload its configuration; without a handler it ends a Java process. The
 * JDK's signal class is used by reflection, because the compiler warns about each direct use.
 */
final class HangupSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /**
     * Runs an action on each SIGHUP, on a thread of its own. Actions may overlap.
     *
     * @throws ReflectiveOperationException if this Java runtime lacks the signal class
     */
    static void handle(Runnable action) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName(SIGNAL_CLASS);
        Class<?> handlerClass = Class.forName(HANDLER_CLASS);
        Object signal = signalClass.getConstructor(String.class).newInstance(NAME);
        Object handler = Proxy.newProxyInstance(
                HangupSignal.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                    action.run();
                    return null;
                });
        signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    }
}
