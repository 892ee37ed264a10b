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
 * Hosts the instances: hands each batch's events to them in order and answers with their actions.
 */
final class BatchLoop implements FrameCodec.Sink {
  private final FrameCodec wire = new FrameCodec();
  private final FrameCodec.Reply reply = new FrameCodec.Reply();
  private final Map<Integer, Dispatcher> instances =
      new HashMap<>(); // looked up only, never iterated
  private final Consumer<Action> actions = this::act;
  private long now;
  private int selected;
  private int from;
  private boolean named;

  /** Runs until the input ends. */
  void run(InputStream in, OutputStream out) throws IOException {
    for (ByteBuffer frame; (frame = FrameCodec.readFrame(in)) != null; ) {
      now = FrameCodec.clock(frame);
      named = false;
      try {
        wire.read(frame, this);
      } catch (RuntimeException e) {
        reply.bug(describe(e));
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

  private void act(Action action) {
    if (!named || from != selected) {
      reply.from(selected);
      from = selected;
      named = true;
    }
    reply.add(action);
  }

  private static String describe(RuntimeException e) {
    StringBuilder text = new StringBuilder(e.toString());
    StackTraceElement[] trace = e.getStackTrace();
    for (int i = 0; i < Math.min(6, trace.length); i++) {
      text.append(" at ").append(trace[i]);
    }
    return text.toString();
  }
}
