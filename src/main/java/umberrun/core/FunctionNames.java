package umberrun.core;

import io.vertx.core.buffer.Buffer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * The names of functions as clients write them, to write preload requests with. Only names that
 * differ from the usual form, 16 hex digits in lower case, are kept. Their number is bounded: those
 * that are no longer needed give way.
 */
final class FunctionNames {
  private static final String USUAL_FORM = "%016x";

  private final int capacity;
  private final LongPredicate isNeeded;

  /** Unusual names by function, the one written least recently first. */
  private final Map<Long, Buffer> unusual = new LinkedHashMap<>(64, 0.75f, true);

  /**
   * @param capacity how many names are kept; there are always fewer functions that are needed
   * @param isNeeded whether the name of a function may still be asked for
   */
  FunctionNames(int capacity, LongPredicate isNeeded) {
    this.capacity = capacity;
    this.isNeeded = isNeeded;
  }

  /** Records how a client has written the name of a function. */
  void record(long function, Buffer name) {
    if (isUsual(name)) {
      if (!unusual.isEmpty()) {
        unusual.remove(function);
      }
      return;
    }
    unusual.put(function, name);
    if (unusual.size() > capacity) {
      forgetUnneeded(function);
    }
  }

  /** The function as clients write it. */
  Buffer name(long function) {
    Buffer name = unusual.get(function);
    return name != null ? name : Buffer.buffer(String.format(USUAL_FORM, function));
  }

  /** How many names are kept. */
  int size() {
    return unusual.size();
  }

  private static boolean isUsual(Buffer name) {
    for (int i = 0; i < name.length(); i++) {
      if (Character.isUpperCase(name.getByte(i))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Removes all names that are no longer needed at once, so that not every new one costs a scan.
   *
   * @param latest the function of the call that is about to be dispatched
   */
  private void forgetUnneeded(long latest) {
    unusual.keySet().removeIf(function -> function != latest && !isNeeded.test(function));
    Iterator<Long> eldest = unusual.keySet().iterator();
    while (unusual.size() > capacity) {
      eldest.next();
      eldest.remove();
    }
  }
}
