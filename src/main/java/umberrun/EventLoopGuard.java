package umberrun;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * Notices that the event loop can no longer be relied on: its thread has ended, or a handler failed
 * because the virtual machine ran out of a resource, so that calls may be left half done. Nothing
 * is answered without the event loop, so the process must end: then its clients see their
 * connections closed, and a supervisor can start another one.
 */
final class EventLoopGuard {
  private final Consumer<String> onBroken;
  private volatile boolean stopped;

  /**
   * @param onBroken called at most once for each cause, with a reason; on any thread
   */
  EventLoopGuard(Consumer<String> onBroken) {
    this.onBroken = onBroken;
  }

  /** Watches a thread from now on. */
  void watch(Thread eventLoop) {
    Thread watcher = new Thread(() -> awaitEnd(eventLoop), "event-loop-guard");
    watcher.setDaemon(true);
    watcher.start();
  }

  /** The event loop is about to be ended in order, which is not reported. */
  void stop() {
    stopped = true;
  }

  private void awaitEnd(Thread eventLoop) {
    try {
      eventLoop.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    report("the event loop has ended");
  }

  /** Called with what a handler on the event loop has thrown. */
  void onException(Throwable thrown) {
    if (thrown instanceof VirtualMachineError && !isDirectMemory(thrown)) {
      report("the event loop met " + thrown);
    }
  }

  /**
   * Whether an operation on a socket found no direct memory. It has failed as a whole then, and
   * only its connection is affected.
   */
  private static boolean isDirectMemory(Throwable thrown) {
    return thrown instanceof OutOfMemoryError
        && String.valueOf(thrown.getMessage()).toLowerCase(Locale.ROOT).contains("direct");
  }

  private void report(String reason) {
    if (!stopped) {
      onBroken.accept(reason);
    }
  }
}
