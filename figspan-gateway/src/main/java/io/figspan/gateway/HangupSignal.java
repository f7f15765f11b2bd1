package io.figspan.gateway;

import java.lang.reflect.Proxy;

/**
 * The signal that tells a process to read its configuration again. Unhandled, it ends a Java process. The JDK's class
 * for signals is reached by reflection, because the compiler warns of each direct use of it.
 */
public final class HangupSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /**
     * Runs an action on each signal, on a thread of its own.
     *
     * @throws ReflectiveOperationException if this Java runtime lacks the class for signals
     */
    public static void handle(Runnable action) throws ReflectiveOperationException {
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
