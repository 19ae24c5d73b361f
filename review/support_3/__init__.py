"""What the cases of the third review share; standard library only."""
