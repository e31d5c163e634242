"""Pure decisions: order of the queue, placement, advice, estimates."""
