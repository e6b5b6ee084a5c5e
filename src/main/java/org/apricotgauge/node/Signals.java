package org.apricotgauge.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Installs handlers of signals, for which Java has no public interface.
 *
 * <p>Without a handler, a SIGHUP ends the process as a SIGTERM does, and a platform that signals a
 * change of settings would interrupt every request in flight. {@code sun.misc.Signal} is part of
 * the JDK's module {@code jdk.unsupported}; it is called by reflection, as the compiler warns of a
 * direct use.
 */
final class Signals {
    private static final Logger LOGGER = Logger.getLogger(Signals.class);

    private Signals() {}

    /** Calls the action at each signal of the name, such as "HUP", instead of Java's default. */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler call = (proxy, method, arguments) -> invoke(method, action);
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(), new Class<?>[] {handler}, call);
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOGGER.warnf("cannot handle SIG%s, which will end the process: %s", name, e);
        }
    }

    private static Object invoke(Method method, Runnable action) {
        return switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "hashCode" -> System.identityHashCode(action);
            case "equals" -> false;
            default -> "signal handler";
        };
    }
}
