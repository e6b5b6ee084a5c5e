package org.apricotgauge.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Handlers of signals that Java has no public interface for.
 *
 * <p>Without one, a SIGHUP ends the process as a SIGTERM does, and a platform that says "your
 * settings changed" would cut every request in flight. The JDK's module {@code jdk.unsupported}
 * keeps the handler; it is called by reflection, as the compiler knows it only with a warning.
 */
final class Signals {
    private static final Logger LOGGER = Logger.getLogger(Signals.class);

    private Signals() {}

    /** Calls the action at each signal of the name, such as "HUP", in place of what Java does. */
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
            LOGGER.warnf("SIG%s is not handled and ends the process: %s", name, e);
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
