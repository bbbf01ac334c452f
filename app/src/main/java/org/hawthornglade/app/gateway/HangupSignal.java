package org.hawthornglade.app.gateway;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Runs an action when the process receives SIGHUP, which would terminate it otherwise.
 *
 * <p>The signal classes are internal to the JDK and the compiler rejects direct use, so they are called by reflection.
 */
final class HangupSignal {
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /**
     * Installs the action; it runs on a JDK thread, for one signal at a time.
     *
     * @throws ReflectiveOperationException if this JDK has no signal classes
     */
    static void install(Runnable action) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        InvocationHandler invocation = (proxy, method, arguments) -> {
            action.run();
            return null;
        };
        Object handler =
                Proxy.newProxyInstance(HangupSignal.class.getClassLoader(), new Class<?>[] {handlerType}, invocation);
        Object signal = signalType.getConstructor(String.class).newInstance(NAME);
        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    }
}
