package saddlestall.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import saddlestall.AdaptiveDispatcher;
import saddlestall.Dispatcher;
import saddlestall.Dispatcher.Action;
import saddlestall.Dispatcher.Event;

/**
 * Runs instances of the decision module for a simulator: reads a frame of events, passes them in
 * order to the instances that they are for, and replies with the actions of these instances.
 */
final class BatchLoop implements FrameCodec.Sink {
  private static final int MAX_STACK_FRAMES = 6;

  private final FrameCodec codec = new FrameCodec();
  private final FrameCodec.Reply reply = new FrameCodec.Reply();

  /** Only looked up, never iterated, so that the hash order has no effect on the replies. */
  private final Map<Integer, Dispatcher> instances = new HashMap<>();

  private final Consumer<Action> actions = this::onAction;

  /** The clock of the current frame, in microseconds. */
  private long now;

  /** The instance that the current event is for. */
  private int selected;

  /** The instance that the last action in the reply came from, if {@link #hasSender}. */
  private int sender;

  /** Whether the current reply has named an instance yet. */
  private boolean hasSender;

  /** Serves frames until the input ends. */
  void run(InputStream in, OutputStream out) throws IOException {
    for (ByteBuffer frame; (frame = FrameCodec.readFrame(in)) != null; ) {
      now = FrameCodec.clock(frame);
      hasSender = false;
      try {
        codec.read(frame, this);
      } catch (RuntimeException e) {
        reply.exception(describe(e));
      }
      reply.write(out);
    }
  }

  @Override
  public void select(int instance) {
    selected = instance;
  }

  @Override
  public void spawn(long seed, String settings) {
    instances.put(
        selected, new AdaptiveDispatcher(SettingsJson.read(settings), seed, now, actions));
  }

  @Override
  public void killed() {
    instances.remove(selected);
  }

  @Override
  public void event(Event event) {
    Dispatcher instance = instances.get(selected);
    if (instance != null) {
      instance.handle(now, event, actions);
    }
  }

  private void onAction(Action action) {
    if (!hasSender || sender != selected) {
      reply.from(selected);
      sender = selected;
      hasSender = true;
    }
    reply.add(action);
  }

  /** Returns the exception and its first stack frames in one line. */
  private static String describe(RuntimeException e) {
    StringBuilder description = new StringBuilder(e.toString());
    StackTraceElement[] trace = e.getStackTrace();
    for (int i = 0; i < Math.min(MAX_STACK_FRAMES, trace.length); i++) {
      description.append(" at ").append(trace[i]);
    }
    return description.toString();
  }
}
